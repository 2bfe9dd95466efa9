package beaconturn.decision;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Learns the relative response time of each server kind, because ratings may reflect cores but not
 * their speed. Values are rounded to steps, so that routers that learn independently build nearly
 * the same ring.
 */
final class KindLatencies {
  /** Steps per doubling of the response time. */
  private static final int STEPS_PER_DOUBLING = 2;

  /** Weight of the newest sample. */
  private static final double SAMPLE_WEIGHT = MovingAverage.DEFAULT_SAMPLE_WEIGHT / 2;

  /** Relative response times by server kind. */
  private final Map<Integer, LatencyRatio> relativeTimes = new LinkedHashMap<>();

  /**
   * Records a response time relative to the mean; returns whether the kind moved to another step.
   */
  boolean recordLatency(int kind, double relativeTime) {
    int stepBefore = step(kind);
    relativeTimes.computeIfAbsent(kind, k -> new LatencyRatio(SAMPLE_WEIGHT)).add(relativeTime);
    return step(kind) != stepBefore;
  }

  /** Returns the relative response time of the kind, rounded to whole steps. */
  double relativeTime(int kind) {
    return StrictMath.pow(2, (double) step(kind) / STEPS_PER_DOUBLING);
  }

  /**
   * Returns the step of the kind; 0 while there is only one kind, which has nothing to compare
   * with.
   */
  private int step(int kind) {
    LatencyRatio latency = relativeTimes.size() < 2 ? null : relativeTimes.get(kind);
    double ratio = latency == null ? 1 : latency.value();
    return (int) Math.rint(STEPS_PER_DOUBLING * StrictMath.log(ratio) / StrictMath.log(2));
  }
}
