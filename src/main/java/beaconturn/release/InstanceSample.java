package beaconturn.release;

import java.util.Collections;
import java.util.EnumMap;
import java.util.Map;

/**
 * Metrics of one instance at one time, as its agent reports them.
 *
 * @param process identifies the process of the instance; counters of another one begin anew
 * @param metrics known metrics; those not contained are 0
 */
public record InstanceSample(String process, Map<InstanceMetric, Long> metrics) {
  /** No metrics. */
  static final InstanceSample NONE = new InstanceSample("", Map.of());

  /** Copies the metrics and leaves out those that are 0. */
  public InstanceSample {
    Map<InstanceMetric, Long> known = new EnumMap<>(InstanceMetric.class);
    metrics.forEach(
        (metric, value) -> {
          if (value != 0) {
            known.put(metric, value);
          }
        });
    metrics = Collections.unmodifiableMap(known);
  }

  /** A sample that counts answers only. */
  public static InstanceSample ofResponses(String process, long served, long failed) {
    return new InstanceSample(
        process, Map.of(InstanceMetric.SERVED, served, InstanceMetric.FAILED, failed));
  }

  /** The value of a metric; 0 where it is not known. */
  long valueOf(InstanceMetric metric) {
    return metrics.getOrDefault(metric, 0L);
  }

  /**
   * What was counted since an earlier sample, with the gauges of this one; all of it where the
   * process is another.
   */
  InstanceSample since(InstanceSample earlier) {
    if (!process.equals(earlier.process)) {
      return this;
    }
    Map<InstanceMetric, Long> difference = new EnumMap<>(InstanceMetric.class);
    for (InstanceMetric metric : InstanceMetric.values()) {
      long before = metric.isGauge() ? 0 : earlier.valueOf(metric);
      difference.put(metric, valueOf(metric) - before);
    }
    return new InstanceSample(process, difference);
  }

  /** The sum of the counters of both; gauges are left out, as their sum has no meaning. */
  InstanceSample plus(InstanceSample other) {
    Map<InstanceMetric, Long> sum = new EnumMap<>(InstanceMetric.class);
    for (InstanceMetric metric : InstanceMetric.values()) {
      if (!metric.isGauge()) {
        sum.put(metric, valueOf(metric) + other.valueOf(metric));
      }
    }
    return new InstanceSample("", sum);
  }

  /** All answers. */
  long responses() {
    return valueOf(InstanceMetric.SERVED) + valueOf(InstanceMetric.FAILED);
  }

  /** The failed share of all answers, from 0 to 1. */
  double failedShare() {
    return ratio(InstanceMetric.FAILED, responses());
  }

  /** A metric divided by a total; 0 where the total is 0. */
  double ratio(InstanceMetric metric, long total) {
    if (total == 0) {
      return 0;
    }
    return valueOf(metric) / (double) total;
  }
}
