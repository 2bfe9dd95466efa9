package beaconturn.decision;

import java.util.SplittableRandom;

/**
 * Decides how a request is given up: rejected, so that the client may retry it, or failed, with its
 * effect unknown; and how long a rejected client should wait before retrying.
 */
final class GiveUpPolicy {
  /** Shortest retry delay, as a fraction of the latency objective. */
  private static final double MIN_RETRY_AFTER_OBJECTIVE_SHARE = 0.2;

  /**
   * Random part of the retry delay, as a fraction of the latency objective; keeps clients from
   * retrying simultaneously.
   */
  private static final double RETRY_AFTER_JITTER_SHARE = 0.2;

  private final RoutingPermissions permissions;
  private final SplittableRandom random;

  GiveUpPolicy(RoutingPermissions permissions, SplittableRandom random) {
    this.permissions = permissions;
    this.random = random;
  }

  /**
   * Whether a client retry cannot cause a second effect; only then is the request rejected rather
   * than failed.
   */
  boolean isRejectionSafe(RequestState request) {
    RequestClass requestClass = request.requestClass();
    return request.isIdempotent()
        || request.firstWithPossibleEffect() == null
        || (requestClass.idempotency() == Idempotency.IDEMPOTENCY_KEY
            && requestClass.deduplicationScope() == DeduplicationScope.ALL);
  }

  /**
   * Returns the delay before the client of a rejected request should retry, in nanoseconds; 0 for
   * none. Over quota it is the maximum delay; otherwise it is short enough for the objective. Draws
   * from the random source.
   */
  long retryAfterNanos(RequestState request) {
    if (!permissions.retryAfter()) {
      return 0;
    }
    double objectiveShare =
        MIN_RETRY_AFTER_OBJECTIVE_SHARE + RETRY_AFTER_JITTER_SHARE * random.nextDouble();
    long objectiveBasedNanos =
        (long) (request.requestClass().latencyObjectiveNanos() * objectiveShare);
    return request.isOverQuota()
        ? permissions.maxRetryAfterNanos()
        : Math.min(permissions.maxRetryAfterNanos(), objectiveBasedNanos);
  }
}
