package beaconturn.release;

import java.util.Collections;
import java.util.EnumMap;
import java.util.Map;

/**
 * Metrics of one instance at one time, as reported by its agent.
 *
 * @param process identifies the process of the instance; counters restart at 0 with each process
 * @param metrics values by metric; metrics that are not contained are 0
 */
public record InstanceSample(String process, Map<InstanceMetric, Long> metrics) {
  /** A sample without metrics. */
  static final InstanceSample NONE = new InstanceSample("", Map.of());

  /** Makes an immutable copy of the metrics that are not 0. */
  public InstanceSample {
    Map<InstanceMetric, Long> nonZero = new EnumMap<>(InstanceMetric.class);
    metrics.forEach(
        (metric, value) -> {
          if (value != 0) {
            nonZero.put(metric, value);
          }
        });
    metrics = Collections.unmodifiableMap(nonZero);
  }

  /** Returns a sample that counts responses only. */
  public static InstanceSample ofResponses(String process, long served, long failed) {
    return new InstanceSample(
        process, Map.of(InstanceMetric.SERVED, served, InstanceMetric.FAILED, failed));
  }

  /** Returns the value of a metric; 0 if it is not reported. */
  long valueOf(InstanceMetric metric) {
    return metrics.getOrDefault(metric, 0L);
  }

  /**
   * Returns the counters since an earlier sample, with the gauges of this sample. Returns this
   * sample unchanged if the earlier sample is of another process.
   */
  InstanceSample since(InstanceSample earlier) {
    if (!process.equals(earlier.process)) {
      return this;
    }
    Map<InstanceMetric, Long> difference = new EnumMap<>(InstanceMetric.class);
    for (InstanceMetric metric : InstanceMetric.values()) {
      long earlierValue = metric.isGauge() ? 0 : earlier.valueOf(metric);
      difference.put(metric, valueOf(metric) - earlierValue);
    }
    return new InstanceSample(process, difference);
  }

  /** Returns the sums of the counters of two samples, without gauges. */
  InstanceSample plus(InstanceSample other) {
    Map<InstanceMetric, Long> sum = new EnumMap<>(InstanceMetric.class);
    for (InstanceMetric metric : InstanceMetric.values()) {
      if (!metric.isGauge()) {
        sum.put(metric, valueOf(metric) + other.valueOf(metric));
      }
    }
    return new InstanceSample("", sum);
  }

  /** Returns the number of all responses, successful or failed. */
  long responses() {
    return valueOf(InstanceMetric.SERVED) + valueOf(InstanceMetric.FAILED);
  }

  /** Returns the failed share of all responses, from 0 to 1. */
  double failedShare() {
    return ratio(InstanceMetric.FAILED, responses());
  }

  /** Returns a metric divided by a total; 0 if the total is 0. */
  double ratio(InstanceMetric metric, long total) {
    if (total == 0) {
      return 0;
    }
    return valueOf(metric) / (double) total;
  }
}
