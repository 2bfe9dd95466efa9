package beaconturn.history;

import java.util.Map;
import java.util.Set;

/** One event of a history. All times are nanoseconds of the same monotonic clock. */
public sealed interface HistoryEvent {
  /** Returns when the event happened. */
  long atNanos();

  /**
   * A client has written a request.
   *
   * @param atNanos when the last byte was written
   * @param requestClass name of the class
   * @param idempotencyKey the idempotency key, or null
   * @param router index of the router to which the request was written
   * @param deadlineNanos time by which the response is due
   */
  record RequestWritten(
      long atNanos,
      String requestId,
      String requestClass,
      String key,
      String idempotencyKey,
      int router,
      long deadlineNanos)
      implements HistoryEvent {}

  /** The outcome of a request at its client. */
  enum ClientOutcome {
    SERVED("served"),
    /** The router rejected the request; the client may retry. */
    REJECTED("refused"),
    FAILED("failed"),
    /** The connection was closed without a complete response. */
    DISCONNECTED("broken"),
    /** The value was truncated or malformed, which the client detects. */
    DAMAGED("cut"),
    /** No response arrived until long after the deadline. */
    TIMED_OUT("silence"),
    /** The client closed its connection and expects no response. */
    ABANDONED("left");

    private final String label;

    ClientOutcome(String label) {
      this.label = label;
    }

    /** Returns the name of the outcome in reports. */
    String label() {
      return label;
    }

    /** Returns whether the client has received a response, possibly a damaged one. */
    boolean isResponse() {
      return this == SERVED || this == REJECTED || this == FAILED || this == DAMAGED;
    }
  }

  /**
   * A client has received a response, or has noticed that it will receive none.
   *
   * @param digest digest of the value, see {@link History#digest}
   */
  record RequestCompleted(long atNanos, String requestId, ClientOutcome outcome, long digest)
      implements HistoryEvent {}

  /**
   * A cache server stand-in has read a command, which is an attempt of a request.
   *
   * @param atNanos when the command was read
   * @param earliestNanos the earliest time at which the command may have arrived
   * @param loopTurn turn of the stand-in's event loop in which the command was read
   * @param commandNumber identifies the command
   * @param router index of the router that sent the attempt
   * @param connectionId identifies the connection
   * @param workNanos time that a warm server needs for the command
   */
  record AttemptArrived(
      long atNanos,
      long earliestNanos,
      long loopTurn,
      long commandNumber,
      String server,
      int router,
      long connectionId,
      String requestId,
      String requestClass,
      String key,
      long workNanos)
      implements HistoryEvent {}

  /**
   * A connection was found closed after a request had been written on it; the client writes the
   * request again on a new connection.
   *
   * @param writeStartNanos when the client started to write the batch that contains the request
   */
  record RequestRacedClose(long atNanos, String requestId, long writeStartNanos)
      implements HistoryEvent {
    /** Creates the event for a request that was written in one piece. */
    public RequestRacedClose(long atNanos, String requestId) {
      this(atNanos, requestId, atNanos);
    }
  }

  /**
   * A router closed a connection while a client was writing commands on it.
   *
   * @param writeStartNanos when the client started to write the commands
   * @param idle whether no other request was open on the connection
   */
  record ConnectionClosedWhileWriting(
      long atNanos, String requestId, int router, long writeStartNanos, boolean idle)
      implements HistoryEvent {}

  /**
   * A client has received all responses that precede the response to this request on its
   * connection.
   */
  record PrecedingResponsesReceived(long atNanos, String requestId) implements HistoryEvent {}

  /** The kind of a response that a stand-in sent. */
  enum ServerResponse {
    VALUE("value"),
    DAMAGED_VALUE("spoilt"),
    /** A rejection; the command has no effect. */
    BUSY("busy"),
    ERROR("error");

    private final String label;

    ServerResponse(String label) {
      this.label = label;
    }

    /** Returns the name of the kind in reports. */
    String label() {
      return label;
    }
  }

  /**
   * A stand-in has sent the response to a command.
   *
   * @param digest digest of the value, see {@link History#digest}; 0 without a value
   */
  record ResponseSent(long atNanos, long commandNumber, ServerResponse response, long digest)
      implements HistoryEvent {}

  /**
   * A stand-in has executed a command.
   *
   * @param discarded whether the effect was discarded as a duplicate
   */
  record CommandExecuted(long atNanos, long commandNumber, boolean discarded)
      implements HistoryEvent {}

  /**
   * A connection to a stand-in has ended.
   *
   * @param loopTurn turn of the stand-in's event loop in which the end was seen
   */
  record ServerConnectionEnded(long atNanos, long loopTurn, long connectionId)
      implements HistoryEvent {}

  /**
   * A cache server has started.
   *
   * @param cell group of servers within the zone that discard each other's duplicates
   * @param startNanos when the server started; 0 for a server that was warm at the start
   * @param capacity work done per unit of time when warm
   */
  record CacheServerStarted(
      long atNanos, String server, String zone, int cell, long startNanos, double capacity)
      implements HistoryEvent {}

  /** A cache server, or the origin under the name "origin", has collapsed under its load. */
  record ServerCollapsed(long atNanos, String server) implements HistoryEvent {}

  /**
   * A fetch or a write has reached the origin.
   *
   * @param server the cache server that sent it
   * @param warmingUp whether that cache server was warming up
   * @param inFlight fetches and writes in flight at the origin, including this one
   */
  record OriginFetched(long atNanos, String server, boolean warmingUp, int inFlight)
      implements HistoryEvent {}

  /** The state of a server in the endpoint list. */
  enum ListingState {
    READY,
    DRAINING,
    GONE
  }

  /** The state of a server in the endpoint list of discovery has changed. */
  record ListingChanged(long atNanos, String server, ListingState state) implements HistoryEvent {}

  /**
   * Discovery has written the state of a server to a router.
   *
   * @param startNanos when the server started
   */
  record RouterNotified(
      long atNanos, int router, String server, ListingState state, long startNanos)
      implements HistoryEvent {}

  /** A router has polled discovery. */
  record DiscoveryPolled(long atNanos, int router) implements HistoryEvent {}

  /** Discovery has become reachable or unreachable. */
  record DiscoveryReachability(long atNanos, boolean reachable) implements HistoryEvent {}

  /**
   * A router was stopped, killed or paused.
   *
   * @param untilNanos end of a pause; equal to {@code atNanos} if the process ended
   * @param planned whether the router was asked to stop; otherwise it was killed or paused
   */
  record RouterStopped(long atNanos, long untilNanos, int router, boolean planned)
      implements HistoryEvent {}

  /** The process of a router ended unexpectedly. */
  record RouterCrashed(long atNanos, int router, String reason) implements HistoryEvent {}

  /** The member record of a router was written or removed. */
  record MembershipChanged(long atNanos, int router, boolean member) implements HistoryEvent {}

  /** A router responds after a start or a pause. */
  record RouterReady(long atNanos, int router) implements HistoryEvent {}

  /**
   * An instance is taken out of service to run another variant.
   *
   * @param router index of the router, or -1 for a cache server
   * @param toReleased whether the instance changes to the released variant, otherwise to the
   *     previous one
   */
  record VariantChangeStarted(long atNanos, String instanceId, int router, boolean toReleased)
      implements HistoryEvent {}

  /**
   * The process of a cache server has ended. The next start under its name brings the server back.
   */
  record CacheServerStopped(long atNanos, String server) implements HistoryEvent {}

  /** An operator has taken or returned a disruption permit to drain a cache server. */
  record DrainPermitChanged(long atNanos, String server, boolean taken) implements HistoryEvent {}

  /** A disruption permit was taken for an instance. */
  record PermitTaken(long atNanos, String instanceId) implements HistoryEvent {}

  /**
   * The link from discovery to a router has changed.
   *
   * @param prompt whether data now arrives at once; otherwise late or never
   */
  record DiscoveryLinkChanged(long atNanos, int router, boolean prompt) implements HistoryEvent {}

  /**
   * An operator has defined the disruption budget.
   *
   * @param maxUnavailable instances that may be unavailable at once in all zones
   * @param maxUnavailablePerZone instances that may be unavailable at once in one zone
   */
  record DisruptionBudgetDefined(long atNanos, int maxUnavailable, int maxUnavailablePerZone)
      implements HistoryEvent {}

  /** An operator's command to a release was carried out: halt, resume or back. */
  record ReleaseCommanded(long atNanos, String command) implements HistoryEvent {}

  /** Stages of a configuration version. */
  enum VersionStage {
    PROPOSED,
    IN_FORCE
  }

  /**
   * A configuration version has reached a stage, as recorded in the store.
   *
   * @param excluded cache servers that the version excludes
   * @param maxAttempts maximum attempts of a request; 0 if the version does not set a maximum
   * @param nonIdempotentClasses request classes that must not be repeated
   * @param limitsListAge whether routers must not act on an endpoint list from before the proposal
   */
  record VersionStageReached(
      long atNanos,
      long number,
      VersionStage stage,
      Set<String> excluded,
      int maxAttempts,
      Set<String> nonIdempotentClasses,
      boolean limitsListAge)
      implements HistoryEvent {}

  /**
   * A plan of zone weights has come into force.
   *
   * @param weights for each zone, the zones that serve its keys, with weights in thousandths
   */
  record ZonePlanInForce(long atNanos, long number, Map<String, Map<String, Integer>> weights)
      implements HistoryEvent {}

  /** A fault of the scenario has started or ended. */
  record FaultChanged(long atNanos, boolean active) implements HistoryEvent {}

  /** A stand-in could not parse the data that a router sent. */
  record UnreadableCommand(long atNanos, String server, int router, String reason)
      implements HistoryEvent {}

  /** The machine did not run the rehearsal itself. Time limits are extended by the pause. */
  record MachinePaused(long atNanos, long untilNanos) implements HistoryEvent {}
}
