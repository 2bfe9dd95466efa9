package beaconturn.decision;

import java.util.SplittableRandom;

/**
 * Tracks servers to which connections failed recently, and the failure rate of this router's
 * connections. While connections fail, such servers are a last resort.
 */
final class ConnectionFailures {
  private final RoutingPermissions permissions;
  private final EventClock clock;
  private final SplittableRandom random;

  /** Share of failures among attempts that needed a new connection, as a moving average, 0 to 1. */
  private double failureShare;

  ConnectionFailures(RoutingPermissions permissions, EventClock clock, SplittableRandom random) {
    this.permissions = permissions;
    this.clock = clock;
    this.random = random;
  }

  /**
   * Whether the request may use a server to which a connection failed recently. A retry may do so
   * only while failures are rare, since it has no time left for another failed connection. Draws
   * from the random source while connections fail.
   */
  boolean allowsUnreachable(RequestState request) {
    if (!request.attempts().isEmpty()) {
      return failureShare < MovingAverage.DEFAULT_SAMPLE_WEIGHT;
    }
    return failureShare == 0 || random.nextDouble() >= failureShare * failureShare;
  }

  /** Whether no connection to the server is open and opening one failed recently. */
  boolean isUnreachable(ServerState server) {
    long nowNanos = clock.nowNanos();
    return !server.connection().isOpen(nowNanos)
        && server.connection().failedWithin(permissions.connectionIdleNanos(), nowNanos);
  }

  /** Records the end of an attempt at a cache. */
  void attemptEnded(AttemptState attempt, AttemptOutcome outcome) {
    boolean failed = outcome == AttemptOutcome.CONNECT_FAILED || outcome == AttemptOutcome.NOT_SENT;
    if (failed || (attempt.needsConnection() && !outcome.endedLocally())) {
      failureShare += MovingAverage.DEFAULT_SAMPLE_WEIGHT * ((failed ? 1 : 0) - failureShare);
    }
    if (failed) {
      attempt.server().connection().failed(clock.nowNanos());
    } else if (outcome.serverResponded()) {
      attempt.server().connection().responded(clock.nowNanos() + permissions.connectionIdleNanos());
    }
  }
}
