package beaconturn.decision;

/** Further attempts that arrivals have earned and that were not spent yet. */
final class RetryBudget {
  /**
   * Further attempts earned by each arrival, for each that is allowed: a small part of the load.
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
