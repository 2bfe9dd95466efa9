package beaconturn.decision;

/**
 * The one guard before every send: the request is alive, the server takes new requests, the number
 * of attempts allows it, and the effect cannot happen twice.
 */
final class AttemptGuard {
  /** A router may stand still for so long between reading its clock and writing. */
  private static final long LONGEST_STALL_NANOS = 150_000_000;

  private final RoutingPermissions permissions;
  private final EventClock clock;

  AttemptGuard(RoutingPermissions permissions, EventClock clock) {
    this.permissions = permissions;
    this.clock = clock;
  }

  /** Whether the request may be sent to the server now. */
  boolean allows(RequestState request, ServerState server) {
    return !request.isDone()
        && !request.isStreaming()
        && server.isUsable()
        && clock.nowNanos() < request.deadlineNanos()
        && request.attempts().size() < permissions.maxAttempts()
        && (permissions.hedging() || !request.hasOpenAttempt())
        && allowsRepeat(request, server);
  }

  /**
   * Whether a repeat cannot have a second effect: there was no first one, the request is
   * idempotent, or the server drops repeats of all attempts that may have had an effect.
   */
  private boolean allowsRepeat(RequestState request, ServerState server) {
    AttemptState first = request.firstWithPossibleEffect();
    if (first == null || request.isIdempotent()) {
      return true;
    }
    return request.type().idempotency() == Idempotency.IDEMPOTENCY_KEY
        && isWithinWindow(request, first)
        && deduplicatesAll(request, server);
  }

  /** A repeat is written once its connection is up, and its router may stall just before. */
  private boolean isWithinWindow(RequestState request, AttemptState first) {
    long writtenByNanos =
        clock.nowNanos() + permissions.connectTimeoutNanos() + LONGEST_STALL_NANOS;
    return writtenByNanos - first.sentAtNanos() < request.type().deduplicationWindowNanos();
  }

  private static boolean deduplicatesAll(RequestState request, ServerState server) {
    DeduplicationScope scope = request.type().deduplicationScope();
    for (AttemptState attempt : request.attempts()) {
      if (!attempt.isProvenWithoutEffect() && !attempt.server().deduplicatesWith(server, scope)) {
        return false;
      }
    }
    return true;
  }
}
