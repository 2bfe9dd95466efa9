package beaconturn.zones;

import java.util.Collection;
import java.util.SortedMap;
import java.util.TreeMap;

/** Smoothed requests a second and usual answer times of each zone. For the planner's thread. */
final class ZoneTraffic {
  private static final double NANOS_PER_SECOND = 1e9;

  /** Standard deviations of a random count that chance does not exceed. */
  private static final double CHANCE_DEVIATIONS = 2;

  /** Standard deviations beyond which another rate has begun. */
  private static final double NEW_RATE_DEVIATIONS = 3;

  /** Answers that take so many times as long as usual are slow. */
  private static final double SLOW_FACTOR = 2;

  private static final double RATE_SMOOTHING_NANOS = 8e9;

  /** Usual answer times fall soon, rise later, and rise to slow ones last. */
  private static final double FALL_SMOOTHING_NANOS = RATE_SMOOTHING_NANOS;

  private static final double RISE_SMOOTHING_NANOS = 30e9;
  private static final double SLOW_SMOOTHING_NANOS = 300e9;

  private final EvidenceAggregator evidence;
  private final long windowNanos;
  private final SortedMap<String, Double> requestsPerSecond = new TreeMap<>();
  private final SortedMap<String, Double> usualMicros = new TreeMap<>();
  private long updatedAtNanos;

  ZoneTraffic(EvidenceAggregator evidence, long windowNanos) {
    this.evidence = evidence;
    this.windowNanos = windowNanos;
  }

  /** Takes in what the evidence says now. */
  void update(Collection<String> zones, long nowNanos) {
    for (String zone : zones) {
      updateRate(zone, nowNanos);
      updateUsualMicros(zone, nowNanos);
    }
    updatedAtNanos = nowNanos;
  }

  /**
   * Updates the rate of a zone: it is smoothed, unless it differs by more than chance explains;
   * then the new one counts at once.
   */
  private void updateRate(String zone, long nowNanos) {
    double latest = evidence.requestsPerSecond(zone, nowNanos);
    double known = requestsPerSecond.getOrDefault(zone, latest);
    double deviation = Math.sqrt(Math.max(1, known) / (windowNanos / NANOS_PER_SECOND));
    if (Math.abs(latest - known) > NEW_RATE_DEVIATIONS * deviation) {
      requestsPerSecond.put(zone, latest);
    } else {
      requestsPerSecond.put(zone, smoothed(known, latest, RATE_SMOOTHING_NANOS, nowNanos));
    }
  }

  private void updateUsualMicros(String zone, long nowNanos) {
    double latest = evidence.answerMicros(zone);
    if (latest > 0) {
      double known = usualMicros.getOrDefault(zone, latest);
      usualMicros.put(zone, smoothed(known, latest, smoothingNanos(known, latest), nowNanos));
    }
  }

  private static double smoothingNanos(double known, double latest) {
    if (latest < known) {
      return FALL_SMOOTHING_NANOS;
    }
    return latest < SLOW_FACTOR * known ? RISE_SMOOTHING_NANOS : SLOW_SMOOTHING_NANOS;
  }

  private double smoothed(double known, double latest, double smoothingNanos, long nowNanos) {
    return known + (latest - known) * Math.min(1, (nowNanos - updatedAtNanos) / smoothingNanos);
  }

  /** Requests a second that the routers of a zone take. */
  double requestsPerSecond(String zone) {
    return requestsPerSecond.get(zone);
  }

  /** Whether answers of a zone take clearly longer than they usually do. */
  boolean isSlow(String zone) {
    double usual = usualMicros.getOrDefault(zone, Double.MAX_VALUE);
    return evidence.answerMicros(zone) > SLOW_FACTOR * usual;
  }

  /** By how much a rate that was counted over the window may differ by chance, as arrivals do. */
  double chanceDifference(double perSecond) {
    return CHANCE_DEVIATIONS * Math.sqrt(perSecond / (windowNanos / NANOS_PER_SECOND));
  }
}
