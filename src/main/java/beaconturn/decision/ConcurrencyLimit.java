package beaconturn.decision;

import java.util.SplittableRandom;

/**
 * A limit on attempts in flight, learned from how long answers take against their latency
 * objective. It grows while they are quick and shrinks while they are slow. A second, lower limit,
 * the spare capacity, holds for requests beyond their tenant's quota.
 */
final class ConcurrencyLimit {
  /** Limits begin here, in attempts: without limit until answers are slow. */
  private static final double INITIAL_LIMIT = 1e9;

  /** No capacity to spare: answers take this part of their objective. */
  private static final double BUSY_OBJECTIVE_SHARE = 0.3;

  /** A limit shrinks to this part of what is in flight, at most once an answer time. */
  private static final double SHRINK_RATIO = 0.85;

  /** A limit below one attempt grows by this part of itself with each answer. */
  private static final double GROWTH_BELOW_ONE = 0.1;

  private final EventClock clock;
  private final SplittableRandom random;
  private final int routers;
  private final double slowObjectiveShare;
  private final boolean growsSlowly;
  private final LatencyRatio slowness = new LatencyRatio(MovingAverage.USUAL_SAMPLE_WEIGHT);
  private double limit = INITIAL_LIMIT;
  private double spareLimit = INITIAL_LIMIT;
  private int inFlight;
  private long shrunkAtNanos;

  /** Answers are slow beyond {@code slowObjectiveShare}, a part of their latency objective. */
  ConcurrencyLimit(
      RoutingSettings settings,
      EventClock clock,
      SplittableRandom random,
      double slowObjectiveShare) {
    this.clock = clock;
    this.random = random;
    this.routers = settings.routerCount();
    this.growsSlowly = settings.origin().cacheAside();
    this.slowObjectiveShare = slowObjectiveShare;
  }

  /** Begins with a limit that another router has learned, if it is lower. */
  void begin(double learnedLimit) {
    limit = Math.min(limit, learnedLimit);
  }

  /** The limit, in attempts. */
  double limit() {
    return limit;
  }

  void attemptStarted() {
    inFlight++;
  }

  void attemptServed() {
    inFlight--;
  }

  /** Whether another attempt may start. */
  boolean hasCapacity() {
    return inFlight < limit;
  }

  /** Whether another attempt may start that has to leave a part of the limit to others; draws. */
  boolean hasCapacityWithin(double partOfLimit) {
    return isBelow(limit * partOfLimit);
  }

  /** Whether there is capacity for requests beyond their quota; draws. */
  boolean hasSpareCapacity() {
    return isBelow(spareLimit);
  }

  /** Whether answers are far from slow. */
  boolean hasAmpleCapacity() {
    return slowness.value() < BUSY_OBJECTIVE_SHARE;
  }

  /**
   * A limit's fraction is kept by chance: rounded up, hundreds of routers would add up to far more.
   */
  private boolean isBelow(double most) {
    return inFlight + random.nextDouble() < most;
  }

  /**
   * Learns from one answer.
   *
   * @param objectiveShare the time that it took, as a part of its latency objective
   * @param answerNanos how long answers take as a rule
   * @param minLimit below this the limit does not shrink, in attempts
   */
  void observe(double objectiveShare, double answerNanos, double minLimit) {
    slowness.add(objectiveShare);
    boolean shrinkDue = clock.nowNanos() - shrunkAtNanos > answerNanos;
    boolean busy = slowness.value() > BUSY_OBJECTIVE_SHARE;
    boolean slow = slowness.value() > slowObjectiveShare;
    spareLimit =
        busy ? shrunk(spareLimit, shrinkDue, 1.0 / routers) : grown(spareLimit, 1 / spareLimit);
    limit = slow ? shrunk(limit, shrinkDue, minLimit) : grown(limit, growth(busy));
    if (shrinkDue && busy) {
      shrunkAtNanos = clock.nowNanos();
    }
  }

  /**
   * By how much the limit grows with an answer. Where it may grow fast and answers are far from
   * slow, it doubles within a round of them, so that a short slowness does not reject requests for
   * many times its length.
   */
  private double growth(boolean busy) {
    return busy || growsSlowly ? 1 / limit : 1;
  }

  private double shrunk(double old, boolean shrinkDue, double min) {
    return shrinkDue ? Math.max(min, Math.min(old, inFlight + 1) * SHRINK_RATIO) : old;
  }

  private static double grown(double old, double step) {
    return old + (old < 1 ? GROWTH_BELOW_ONE * old : step);
  }
}
