package beaconturn.decision;

/**
 * Checks every attempt before it is sent: the request is still open, the server accepts requests,
 * the attempt limit is not exhausted, and no effect can happen twice.
 */
final class AttemptGuard {
  /** Longest pause of a router between reading its clock and writing the request. */
  private static final long MAX_STALL_NANOS = 150_000_000;

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
   * Whether a repeat cannot cause a second effect: no earlier attempt had one, the request is
   * idempotent, or the server deduplicates all attempts that may have had an effect.
   */
  private boolean allowsRepeat(RequestState request, ServerState server) {
    AttemptState first = request.firstWithPossibleEffect();
    if (first == null || request.isIdempotent()) {
      return true;
    }
    return request.requestClass().idempotency() == Idempotency.IDEMPOTENCY_KEY
        && isWithinDeduplicationWindow(request, first)
        && deduplicatesAll(request, server);
  }

  /**
   * Includes the time to open a connection and a pause of the router, since the repeat is written
   * only after both.
   */
  private boolean isWithinDeduplicationWindow(RequestState request, AttemptState first) {
    long writtenByNanos = clock.nowNanos() + permissions.connectTimeoutNanos() + MAX_STALL_NANOS;
    return writtenByNanos - first.sentAtNanos() < request.requestClass().deduplicationWindowNanos();
  }

  private static boolean deduplicatesAll(RequestState request, ServerState server) {
    DeduplicationScope scope = request.requestClass().deduplicationScope();
    for (AttemptState attempt : request.attempts()) {
      if (!attempt.isProvenWithoutEffect() && !attempt.server().deduplicatesWith(server, scope)) {
        return false;
      }
    }
    return true;
  }
}
