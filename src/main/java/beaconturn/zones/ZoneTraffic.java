package beaconturn.zones;

import java.util.Collection;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Smoothed request rates and baseline response times of the zones. Confined to the planner's
 * thread.
 */
final class ZoneTraffic {
  private static final double NANOS_PER_SECOND = 1e9;

  /** Standard deviations within which a difference of counts is noise. */
  private static final double NOISE_DEVIATIONS = 2;

  /** Standard deviations beyond which a rate has changed and is not smoothed. */
  private static final double NEW_RATE_DEVIATIONS = 3;

  /** Ratio to the baseline above which response times are slow. */
  private static final double SLOW_FACTOR = 2;

  private static final double RATE_SMOOTHING_NANOS = 8e9;

  /** Baselines follow falling response times fast, rising ones slower, and slow ones slowest. */
  private static final double FALL_SMOOTHING_NANOS = RATE_SMOOTHING_NANOS;

  private static final double RISE_SMOOTHING_NANOS = 30e9;
  private static final double SLOW_SMOOTHING_NANOS = 300e9;

  private final EvidenceAggregator evidence;
  private final long windowNanos;
  private final SortedMap<String, Double> requestsPerSecond = new TreeMap<>();
  private final SortedMap<String, Double> baselineMicros = new TreeMap<>();
  private long updatedAtNanos;

  ZoneTraffic(EvidenceAggregator evidence, long windowNanos) {
    this.evidence = evidence;
    this.windowNanos = windowNanos;
  }

  /** Updates rates and baselines by the current evidence. */
  void update(Collection<String> zones, long nowNanos) {
    for (String zone : zones) {
      updateRate(zone, nowNanos);
      updateBaselineMicros(zone, nowNanos);
    }
    updatedAtNanos = nowNanos;
  }

  /**
   * Smooths the request rate of a zone, unless it differs by more than noise; then the new rate is
   * adopted at once.
   */
  private void updateRate(String zone, long nowNanos) {
    double latest = evidence.requestsPerSecond(zone, nowNanos);
    double previous = requestsPerSecond.getOrDefault(zone, latest);
    double deviation = Math.sqrt(Math.max(1, previous) / (windowNanos / NANOS_PER_SECOND));
    if (Math.abs(latest - previous) > NEW_RATE_DEVIATIONS * deviation) {
      requestsPerSecond.put(zone, latest);
    } else {
      requestsPerSecond.put(zone, smoothed(previous, latest, RATE_SMOOTHING_NANOS, nowNanos));
    }
  }

  private void updateBaselineMicros(String zone, long nowNanos) {
    double latest = evidence.meanResponseMicros(zone);
    if (latest > 0) {
      double previous = baselineMicros.getOrDefault(zone, latest);
      baselineMicros.put(
          zone, smoothed(previous, latest, smoothingNanos(previous, latest), nowNanos));
    }
  }

  private static double smoothingNanos(double previous, double latest) {
    if (latest < previous) {
      return FALL_SMOOTHING_NANOS;
    }
    return latest < SLOW_FACTOR * previous ? RISE_SMOOTHING_NANOS : SLOW_SMOOTHING_NANOS;
  }

  private double smoothed(double previous, double latest, double smoothingNanos, long nowNanos) {
    return previous
        + (latest - previous) * Math.min(1, (nowNanos - updatedAtNanos) / smoothingNanos);
  }

  /** Returns the smoothed requests per second that the routers of a zone receive. */
  double requestsPerSecond(String zone) {
    return requestsPerSecond.get(zone);
  }

  /** Returns whether the response times of a zone are well above its baseline. */
  boolean isSlow(String zone) {
    double baseline = baselineMicros.getOrDefault(zone, Double.MAX_VALUE);
    return evidence.meanResponseMicros(zone) > SLOW_FACTOR * baseline;
  }

  /** Returns the noise margin of a rate counted over the window, assuming Poisson arrivals. */
  double noiseMargin(double perSecond) {
    return NOISE_DEVIATIONS * Math.sqrt(perSecond / (windowNanos / NANOS_PER_SECOND));
  }
}
