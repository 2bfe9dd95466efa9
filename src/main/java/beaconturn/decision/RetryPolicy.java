package beaconturn.decision;

/**
 * Decides whether a request gets a further attempt, a retry or a hedge. Bounded by the {@link
 * RetryBudget}, and none while the whole fleet does badly, when more attempts only add to it.
 * Whether the further attempt is safe is for {@link AttemptGuard}.
 */
final class RetryPolicy {
  private final RoutingPermissions permissions;
  private final EventClock clock;
  private final HashRing ring;
  private final OutlierDetector outliers;
  private final KeyFailures keyFailures;
  private final ResponseTimes times;
  private final RetryBudget budget;

  /** Uses rules of {@code rules} that have been made before this one. */
  RetryPolicy(RoutingPermissions permissions, RouterRules rules) {
    this.permissions = permissions;
    this.clock = rules.clock;
    this.ring = rules.ring;
    this.outliers = rules.outliers;
    this.keyFailures = rules.keyFailures;
    this.times = rules.times;
    this.budget = new RetryBudget(permissions);
  }

  /** A request has arrived and earns its part of a further attempt. */
  void requestArrived() {
    budget.requestArrived(ring.size());
  }

  /** A further attempt is made. */
  void spend() {
    budget.spend();
  }

  /**
   * Whether the budget holds a further attempt and the fleet is well enough for one. Where hedging
   * is not allowed the fleet counts as unwell at half the share of bad samples.
   */
  boolean allowsFurtherAttempt() {
    boolean fleetUnhealthy = permissions.hedging() ? outliers.isFleetUnhealthy() : outliers.isFleetDegraded();
    return budget.hasAttempt() && !fleetUnhealthy;
  }

  /**
   * Whether a request whose attempt has failed is tried again: where {@link #allowsFurtherAttempt}
   * holds, the attempt went to a cache, the key is not at fault (see {@link KeyFailures}) and there
   * is time for an answer.
   */
  boolean allowsRetry(RequestState request, AttemptState failed) {
    return failed.toCache()
        && !keyFailures.isKeyAtFault(request.key())
        && allowsFurtherAttempt()
        && hasTimeForResponse(request);
  }

  private boolean hasTimeForResponse(RequestState request) {
    long leftNanos = request.dueNanos() - clock.nowNanos();
    return leftNanos > times.responseNanosOf(request.classIndex()).mean();
  }
}
