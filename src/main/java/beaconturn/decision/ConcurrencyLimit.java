package beaconturn.decision;

import java.util.SplittableRandom;

/**
 * Adaptive limit on attempts in flight, learned from response times relative to their latency
 * objective. It increases while responses are fast and decreases while they are slow. A second,
 * lower limit, the spare limit, applies to requests over their tenant's quota.
 */
final class ConcurrencyLimit {
  /** Initial limit, in attempts: effectively unlimited until responses are slow. */
  private static final double INITIAL_LIMIT = 1e9;

  /** Fraction of the latency objective beyond which there is no spare capacity. */
  private static final double BUSY_OBJECTIVE_SHARE = 0.3;

  /**
   * Multiplicative decrease, relative to the attempts in flight; applied at most once per response
   * time.
   */
  private static final double DECREASE_RATIO = 0.85;

  /** Relative increase per response while the limit is below one attempt. */
  private static final double GROWTH_BELOW_ONE = 0.1;

  private final EventClock clock;
  private final SplittableRandom random;
  private final int routerCount;
  private final double slowObjectiveShare;
  private final boolean growsSlowly;
  private final LatencyRatio slowness = new LatencyRatio(MovingAverage.DEFAULT_SAMPLE_WEIGHT);
  private double limit = INITIAL_LIMIT;
  private double spareLimit = INITIAL_LIMIT;
  private int inFlight;
  private long decreasedAtNanos;

  /**
   * Creates a limit that treats responses as slow beyond the given fraction of their latency
   * objective.
   */
  ConcurrencyLimit(
      RoutingSettings settings,
      EventClock clock,
      SplittableRandom random,
      double slowObjectiveShare) {
    this.clock = clock;
    this.random = random;
    this.routerCount = settings.routerCount();
    this.growsSlowly = settings.origin().cacheAside();
    this.slowObjectiveShare = slowObjectiveShare;
  }

  /** Starts from a limit learned by another router, if it is lower. */
  void warmStart(double learnedLimit) {
    limit = Math.min(limit, learnedLimit);
  }

  /** Returns the limit, in attempts. */
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

  /**
   * Whether another attempt may start within the given fraction of the limit. Draws from the random
   * source.
   */
  boolean hasCapacityWithin(double limitShare) {
    return isInFlightBelow(limit * limitShare);
  }

  /** Whether there is capacity for requests over quota. Draws from the random source. */
  boolean hasSpareCapacity() {
    return isInFlightBelow(spareLimit);
  }

  /** Whether responses are well below the slow threshold. */
  boolean hasAmpleCapacity() {
    return slowness.value() < BUSY_OBJECTIVE_SHARE;
  }

  /**
   * Applies the fractional part of the bound by probability: rounding it up would let hundreds of
   * routers exceed it by far together.
   */
  private boolean isInFlightBelow(double bound) {
    return inFlight + random.nextDouble() < bound;
  }

  /**
   * Adjusts the limits after one response.
   *
   * @param objectiveShare response time as a fraction of its latency objective
   * @param responseNanos mean response time
   * @param minLimit lower bound of the limit, in attempts
   */
  void observe(double objectiveShare, double responseNanos, double minLimit) {
    slowness.add(objectiveShare);
    boolean decreaseDue = clock.nowNanos() - decreasedAtNanos > responseNanos;
    boolean busy = slowness.value() > BUSY_OBJECTIVE_SHARE;
    boolean slow = slowness.value() > slowObjectiveShare;
    spareLimit =
        busy
            ? decreased(spareLimit, decreaseDue, 1.0 / routerCount)
            : increased(spareLimit, 1 / spareLimit);
    limit = slow ? decreased(limit, decreaseDue, minLimit) : increased(limit, growth(busy));
    if (decreaseDue && busy) {
      decreasedAtNanos = clock.nowNanos();
    }
  }

  /**
   * Returns the increase of the limit per response. Unless growth is restricted, the limit doubles
   * within one round of responses while they are fast, so that a short slow period does not cause
   * rejections long after it.
   */
  private double growth(boolean busy) {
    return busy || growsSlowly ? 1 / limit : 1;
  }

  private double decreased(double old, boolean decreaseDue, double min) {
    return decreaseDue ? Math.max(min, Math.min(old, inFlight + 1) * DECREASE_RATIO) : old;
  }

  private static double increased(double old, double step) {
    return old + (old < 1 ? GROWTH_BELOW_ONE * old : step);
  }
}
