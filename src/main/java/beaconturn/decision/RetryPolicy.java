package beaconturn.decision;

/**
 * Decides whether a request gets an additional attempt, as a retry or a hedged request. Limited by
 * the {@link RetryBudget}, and denied while the whole fleet is unhealthy, when more attempts would
 * only add load. Whether an attempt is safe is decided by {@link AttemptGuard}.
 */
final class RetryPolicy {
  private final RoutingPermissions permissions;
  private final EventClock clock;
  private final HashRing ring;
  private final OutlierDetector outliers;
  private final KeyFailures keyFailures;
  private final ResponseTimes times;
  private final RetryBudget budget;

  /** Reads components of {@code rules} that must already be initialized. */
  RetryPolicy(RoutingPermissions permissions, RouterRules rules) {
    this.permissions = permissions;
    this.clock = rules.clock;
    this.ring = rules.ring;
    this.outliers = rules.outliers;
    this.keyFailures = rules.keyFailures;
    this.times = rules.times;
    this.budget = new RetryBudget(permissions);
  }

  /** Adds to the retry budget. */
  void requestArrived() {
    budget.requestArrived(ring.size());
  }

  /** Spends one additional attempt. */
  void spend() {
    budget.spend();
  }

  /**
   * Whether the budget holds an attempt and the fleet is healthy enough. Without hedging, half the
   * share of failed samples already denies additional attempts.
   */
  boolean allowsFurtherAttempt() {
    boolean fleetUnhealthy =
        permissions.hedging() ? outliers.isFleetUnhealthy() : outliers.isFleetDegraded();
    return budget.hasAttempt() && !fleetUnhealthy;
  }

  /**
   * Whether a request is retried after a failed attempt: {@link #allowsFurtherAttempt} holds, the
   * attempt went to a cache, the key is not at fault (see {@link KeyFailures}) and there is time
   * for a response.
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
