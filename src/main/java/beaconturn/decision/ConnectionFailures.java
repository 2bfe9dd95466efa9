package beaconturn.decision;

import java.util.SplittableRandom;

/**
 * Tells which servers connections could not be opened to lately, and how often that fails from this
 * machine. While connections fail, such a server is a last resort.
 */
final class ConnectionFailures {
  private final RoutingPermissions permissions;
  private final EventClock clock;
  private final SplittableRandom random;

  /** Moving share of connections that could not be opened, among those that were needed, 0 to 1. */
  private double failingShare;

  ConnectionFailures(RoutingPermissions permissions, EventClock clock, SplittableRandom random) {
    this.permissions = permissions;
    this.clock = clock;
    this.random = random;
  }

  /**
   * Whether the request may try a server to which no connection could be opened lately. A further
   * attempt may only while hardly any fail, as it has no time left for a connection that does not
   * come up. Draws where connections fail.
   */
  boolean mayTryUnreachable(RequestState request) {
    if (!request.attempts().isEmpty()) {
      return failingShare < MovingAverage.USUAL_SAMPLE_WEIGHT;
    }
    return failingShare == 0 || random.nextDouble() >= failingShare * failingShare;
  }

  /** Whether no connection to the server is open, and opening one has failed lately. */
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
