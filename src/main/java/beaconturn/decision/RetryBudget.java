package beaconturn.decision;

/**
 * Budget of further attempts, retries and hedges together: each arrival adds a part of one, each
 * further attempt takes one.
 */
final class RetryBudget {
  /**
   * Part of a further attempt that each arrival earns, for each attempt that the settings allow
   * beyond the first.
   */
  private static final double EARNED_PER_ARRIVAL = 0.05;

  private final double earnedPerArrival;
  private double attempts;

  RetryBudget(RoutingPermissions permissions) {
    this.earnedPerArrival = EARNED_PER_ARRIVAL * (permissions.maxAttempts() - 1);
  }

  /** A request has arrived; the budget holds no more attempts than there are caches. */
  void requestArrived(int caches) {
    attempts = Math.min(Math.max(1, caches), attempts + earnedPerArrival);
  }

  boolean hasAttempt() {
    return attempts >= 1;
  }

  /** A further attempt is made. */
  void spend() {
    attempts--;
  }
}
