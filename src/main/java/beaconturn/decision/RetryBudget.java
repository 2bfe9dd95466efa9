package beaconturn.decision;

/**
 * Budget of further availableAttempts, retries and hedges together: each arrival adds a part of one, each
 * further attempt takes one.
 */
final class RetryBudget {
  /**
   * Part of a further attempt that each arrival earns, for each attempt that the settings allow
   * beyond the first.
   */
  private static final double EARNED_PER_ARRIVAL = 0.05;

  private final double earnedPerArrival;
  private double availableAttempts;

  RetryBudget(RoutingPermissions permissions) {
    this.earnedPerArrival = EARNED_PER_ARRIVAL * (permissions.maxAttempts() - 1);
  }

  /** A request has arrived; the budget holds no more availableAttempts than there are caches. */
  void requestArrived(int caches) {
    availableAttempts = Math.min(Math.max(1, caches), availableAttempts + earnedPerArrival);
  }

  boolean hasAttempt() {
    return availableAttempts >= 1;
  }

  /** A further attempt is made. */
  void spend() {
    availableAttempts--;
  }
}
