package beaconturn.decision;

import java.util.SplittableRandom;

/**
 * Slow start: a cache that has just started, or that an operator has brought back, gets no more
 * than its guaranteed share of what caches can carry, rising evenly until it is warmed up.
 */
final class SlowStart {
  /**
   * Part of the overload multiple that is spent on a cache that warms up; the rest is for chance
   * and for heavy requests.
   */
  private static final double BUDGET_SHARE = 0.8;

  /** A budget's burst, as a part of what comes in within the time of an overload. */
  private static final double BURST_OVERLOAD_SHARE = 1.0 / 4;

  /** Rates are measured over this part of the time of warming up. */
  private static final double RATE_WINDOW_SHARE = 1.0 / 4;

  private final SafetyLimits limits;
  private final EventClock clock;
  private final HashRing ring;
  private final SplittableRandom random;
  private final EventRate responseRate;

  SlowStart(SafetyLimits limits, EventClock clock, HashRing ring, SplittableRandom random) {
    this.limits = limits;
    this.clock = clock;
    this.ring = ring;
    this.random = random;
    this.responseRate = new EventRate(rateWindowNanos(limits));
  }

  /** Over how long rates of requests and responseRate are measured, in nanoseconds. */
  static double rateWindowNanos(SafetyLimits limits) {
    return limits.warmUpNanos() * RATE_WINDOW_SHARE;
  }

  /** Begins with rates of responseRate that another router has counted. */
  void warmStart(double responsesPerNano, double peakPerNano) {
    responseRate.warmStart(responsesPerNano, peakPerNano, clock.nowNanos());
  }

  /** A cache has answered: what caches answer at the peak is what they can carry. */
  void cacheResponded() {
    responseRate.count(clock.nowNanos());
  }

  /** Answers of all caches to this router, in responseRate a nanosecond. */
  double responsesPerNano() {
    return responseRate.perNano(clock.nowNanos());
  }

  /** The recent peak of the same. */
  double peakResponsesPerNano() {
    return responseRate.peakPerNano(clock.nowNanos());
  }

  /** Whether a server still warms up. */
  boolean isWarmingUp(ServerState server) {
    return guaranteedShare(server) < 1;
  }

  /** Part of its capacity that a server has for certain: an even rise from the first share to 1. */
  private double guaranteedShare(ServerState server) {
    long sinceNanos = server.warmUpStartNanos();
    if (sinceNanos == 0) {
      return 1;
    }
    double age = Math.max(0, clock.nowNanos() - sinceNanos) / (double) limits.warmUpNanos();
    if (age >= 1) {
      return 1;
    }
    return limits.coldCapacityShare() + (1 - limits.coldCapacityShare()) * age;
  }

  /**
   * Whether a request may go to the server. Each router holds one that warms up to its own mean
   * rate at a cache, times the guaranteed share, times a part of the overload multiple, so that all
   * routers together keep to the limit. The first call for a start draws.
   */
  boolean hasBudget(ServerState server) {
    double share = guaranteedShare(server);
    if (share >= 1) {
      return true;
    }
    double meanPerNano = responseRate.conservativePeakPerNano(clock.nowNanos()) / ring.size();
    double perNano = BUDGET_SHARE * limits.overloadMultiple() * share * meanPerNano;
    double burst = Math.max(1, perNano * limits.overloadNanos() * BURST_OVERLOAD_SHARE);
    server.slowStartBudget().refill(clock.nowNanos(), perNano, burst, random);
    return server.slowStartBudget().hasToken();
  }

  /** An attempt is sent to the server. */
  void spend(ServerState server) {
    server.slowStartBudget().take();
  }
}
