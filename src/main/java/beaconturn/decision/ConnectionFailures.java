package beaconturn.decision;

import java.util.SplittableRandom;

/**
 * Whether connections can be had: to one server, and to any at all from this machine. A server that
 * lately gave none is a last resort while connections fail.
 */
final class ConnectionFailures {
  private final RoutingPermissions permissions;
  private final EventClock clock;
  private final SplittableRandom random;

  /** Moving share of connections asked for that were not had, 0 to 1. */
  private double failingShare;

  ConnectionFailures(RoutingPermissions permissions, EventClock clock, SplittableRandom random) {
    this.permissions = permissions;
    this.clock = clock;
    this.random = random;
  }

  /**
   * Whether the request may try a server that lately gave no connection; a further attempt has no
   * time for that. Draws where connections fail.
   */
  boolean mayTryUnreachable(RequestState request) {
    if (!request.attempts().isEmpty()) {
      return failingShare < MovingAverage.USUAL_SAMPLE_WEIGHT;
    }
    return failingShare == 0 || random.nextDouble() >= failingShare * failingShare;
  }

  /** Whether no connection to the server is open, and one was lately asked for in vain. */
  boolean isUnreachable(ServerState server) {
    long nowNanos = clock.nowNanos();
    return !server.connection().isOpen(nowNanos)
        && server.connection().failedWithin(permissions.connectionIdleNanos(), nowNanos);
  }

  /** Learns from the end of an attempt at a cache. */
  void attemptEnded(AttemptState attempt, AttemptOutcome outcome) {
    boolean failed = outcome == AttemptOutcome.CONNECT_FAILED || outcome == AttemptOutcome.NOT_SENT;
    if (failed || (attempt.needsConnection() && !outcome.endedLocally())) {
      failingShare += MovingAverage.USUAL_SAMPLE_WEIGHT * ((failed ? 1 : 0) - failingShare);
    }
    if (failed) {
      attempt.server().connection().failed(clock.nowNanos());
    } else if (outcome.serverResponded()) {
      attempt.server().connection().answered(clock.nowNanos() + permissions.connectionIdleNanos());
    }
  }
}
