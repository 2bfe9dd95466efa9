package beaconturn.decision;

import java.util.SplittableRandom;

/**
 * Slow start: a cache that has just started, or was readmitted by an operator, gets at most its
 * guaranteed share of a cache's capacity, which rises linearly until it is warmed up.
 */
final class SlowStart {
  /**
   * Fraction of the overload multiple that is given to a warming cache; the rest is a margin for
   * variance and expensive requests.
   */
  private static final double BUDGET_SHARE = 0.8;

  /** Burst of a budget, as a fraction of the tokens earned within the duration of an overload. */
  private static final double BURST_OVERLOAD_SHARE = 1.0 / 4;

  /** Window of rate measurements, as a fraction of the warm-up time. */
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

  /** Returns the window over which request and response rates are measured, in nanoseconds. */
  static double rateWindowNanos(SafetyLimits limits) {
    return limits.warmUpNanos() * RATE_WINDOW_SHARE;
  }

  /** Starts from the response rates counted by another router. */
  void warmStart(double responsesPerNano, double peakPerNano) {
    responseRate.warmStart(responsesPerNano, peakPerNano, clock.nowNanos());
  }

  /** Counts a response; the peak rate of responses indicates the capacity of the caches. */
  void cacheResponded() {
    responseRate.count(clock.nowNanos());
  }

  /** Returns the rate of responses of all caches to this router, per nanosecond. */
  double responsesPerNano() {
    return responseRate.perNano(clock.nowNanos());
  }

  /** Returns the recent peak of the response rate, per nanosecond. */
  double peakResponsesPerNano() {
    return responseRate.peakPerNano(clock.nowNanos());
  }

  /** Whether the server is still warming up. */
  boolean isWarmingUp(ServerState server) {
    return guaranteedShare(server) < 1;
  }

  /** Returns the share of its capacity that a server certainly has, rising linearly to 1. */
  private double guaranteedShare(ServerState server) {
    long sinceNanos = server.warmUpStartNanos();
    if (sinceNanos == 0) {
      return 1;
    }
    double warmUpProgress =
        Math.max(0, clock.nowNanos() - sinceNanos) / (double) limits.warmUpNanos();
    if (warmUpProgress >= 1) {
      return 1;
    }
    return limits.coldCapacityShare() + (1 - limits.coldCapacityShare()) * warmUpProgress;
  }

  /**
   * Whether the server's budget allows a request. Each router limits a warming server to the
   * router's own mean rate per cache, times the guaranteed share, times a fraction of the overload
   * multiple, so that all routers together respect the limit. Draws from the random source at the
   * first call after a start.
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

  /** Spends one request of the server's budget. */
  void spend(ServerState server) {
    server.slowStartBudget().take();
  }
}
