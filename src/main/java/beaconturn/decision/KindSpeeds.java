package beaconturn.decision;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Learns how long caches of each kind take to answer, relative to all: ratings may tell their cores
 * and not their speed. Rounded to steps, so that routers which learn separately build nearly the
 * same ring.
 */
final class KindSpeeds {
  /** Steps to a doubling of the time taken. */
  private static final int STEPS_PER_DOUBLING = 2;

  /** Weight of the newest sample, a ratio. */
  private static final double SAMPLE_WEIGHT = MovingAverage.USUAL_SAMPLE_WEIGHT / 2;

  /** Relative answer times by kind of server. */
  private final Map<Integer, LatencyRatio> relativeTimes = new LinkedHashMap<>();

  /** Notes one answer's time against the usual; true where that moves the kind by a step. */
  boolean answered(int kind, double relativeTime) {
    int stepBefore = step(kind);
    relativeTimes.computeIfAbsent(kind, k -> new LatencyRatio(SAMPLE_WEIGHT)).add(relativeTime);
    return step(kind) != stepBefore;
  }

  /** The relative answer time of the kind, rounded to whole steps. */
  double relativeTime(int kind) {
    return Math.pow(2, (double) step(kind) / STEPS_PER_DOUBLING);
  }

  /** One kind alone has nothing to be compared with, and is at step 0. */
  private int step(int kind) {
    LatencyRatio taken = relativeTimes.size() < 2 ? null : relativeTimes.get(kind);
    double ratio = taken == null ? 1 : taken.value();
    return (int) Math.rint(STEPS_PER_DOUBLING * Math.log(ratio) / Math.log(2));
  }
}
