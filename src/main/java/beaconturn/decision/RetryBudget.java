package beaconturn.decision;

/**
 * Budget for retries and hedged requests together: each arriving request earns a fraction of an
 * attempt, each additional attempt spends one.
 */
final class RetryBudget {
  /**
   * Fraction of an attempt earned per arriving request, for each attempt permitted beyond the
   * first.
   */
  private static final double EARNED_PER_ARRIVAL = 0.05;

  private final double earnedPerArrival;
  private double availableAttempts;

  RetryBudget(RoutingPermissions permissions) {
    this.earnedPerArrival = EARNED_PER_ARRIVAL * (permissions.maxAttempts() - 1);
  }

  /** Adds to the budget, which is capped at one attempt per cache. */
  void requestArrived(int caches) {
    availableAttempts = Math.min(Math.max(1, caches), availableAttempts + earnedPerArrival);
  }

  boolean hasAttempt() {
    return availableAttempts >= 1;
  }

  /** Spends one additional attempt. */
  void spend() {
    availableAttempts--;
  }
}
