package beaconturn.decision;

import java.util.SplittableRandom;

/**
 * Decides how a request is given up: rejected, so that the client may try again at once, or failed,
 * with nothing promised; and when a rejected client should come back.
 */
final class GiveUpPolicy {
  /** The earliest time to come back, as a part of the latency objective. */
  private static final double RETRY_AFTER_OBJECTIVE_SHARE = 0.2;

  /** Chance adds up to this part of the objective, so that clients do not come back in step. */
  private static final double RETRY_AFTER_SPREAD = 0.2;

  private final RoutingPermissions permissions;
  private final SplittableRandom random;

  GiveUpPolicy(RoutingPermissions permissions, SplittableRandom random) {
    this.permissions = permissions;
    this.random = random;
  }

  /** Whether a further try of the client is harmless; only then is its request rejected. */
  boolean isRejectionSafe(RequestState request) {
    RequestClass type = request.type();
    return request.isIdempotent()
        || request.firstWithPossibleEffect() == null
        || (type.idempotency() == Idempotency.IDEMPOTENCY_KEY
            && type.deduplicationScope() == DeduplicationScope.ALL);
  }

  /**
   * When the client of a rejected request should come back, in nanoseconds; 0 for no advice. Beyond
   * a quota: as late as the site allows; else soon enough for the objective. Draws.
   */
  long retryAfterNanos(RequestState request) {
    if (!permissions.retryAfter()) {
      return 0;
    }
    double objectiveShare = RETRY_AFTER_OBJECTIVE_SHARE + RETRY_AFTER_SPREAD * random.nextDouble();
    long soonNanos = (long) (request.type().latencyObjectiveNanos() * objectiveShare);
    return request.isOverQuota()
        ? permissions.maxRetryAfterNanos()
        : Math.min(permissions.maxRetryAfterNanos(), soonNanos);
  }
}
