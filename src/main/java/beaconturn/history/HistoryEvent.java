package beaconturn.history;

import java.util.Map;
import java.util.Set;

/** One event of a history. Times are nanoseconds of one monotonic clock. */
public sealed interface HistoryEvent {
  /** When it happened. */
  long atNanos();

  /**
   * A client has written a request.
   *
   * @param atNanos when its last byte was written
   * @param requestClass name of the class
   * @param idempotencyKey the key, or null where it has none
   * @param router number of the router that it was written to
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

  /** What became of a request at its client. */
  enum ClientOutcome {
    /** A value. */
    SERVED("served"),
    /** A rejection: the client may try again. */
    REJECTED("refused"),
    /** An error. */
    FAILED("failed"),
    /** The connection ended without a complete answer. */
    DISCONNECTED("broken"),
    /** A damaged value, which the client can tell from a complete one. */
    DAMAGED("cut"),
    /** No answer long after the deadline. */
    TIMED_OUT("silence"),
    /** The client closed its connection and waits for nothing any more. */
    ABANDONED("left");

    private final String word;

    ClientOutcome(String word) {
      this.word = word;
    }

    /** Its word in reports. */
    String word() {
      return word;
    }

    /** Whether the client has received an answer, if a damaged one. */
    boolean isAnswer() {
      return this == SERVED || this == REJECTED || this == FAILED || this == DAMAGED;
    }
  }

  /**
   * A client has received an answer, or has noticed that it will receive none.
   *
   * @param digest digest of the value, see {@link History#digest}
   */
  record RequestCompleted(long atNanos, String requestId, ClientOutcome outcome, long digest)
      implements HistoryEvent {}

  /**
   * A stand-in for a cache server has read a command, which is an attempt of a request.
   *
   * @param atNanos when it was read
   * @param earliestNanos when it may have arrived at the earliest
   * @param loopTurn turn of the stand-in's event loop in which it was read
   * @param commandNumber identifies the command
   * @param connectionId identifies the connection
   * @param workNanos time that it takes a warm server
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
   * A connection was found closed when a request was written on it; the client writes the request
   * again on a new one.
   *
   * @param begunNanos when the client began to write what was written together with the request
   */
  record RequestRacedClose(long atNanos, String requestId, long begunNanos)
      implements HistoryEvent {
    /** A request that was written at once. */
    public RequestRacedClose(long atNanos, String requestId) {
      this(atNanos, requestId, atNanos);
    }
  }

  /**
   * A router ended a connection while a client was writing commands on it.
   *
   * @param begunNanos when the client began to write them
   * @param idle whether no other request was open on the connection
   */
  record ConnectionClosedWhileWriting(
      long atNanos, String requestId, int router, long begunNanos, boolean idle)
      implements HistoryEvent {}

  /** All answers that precede the request's own on its connection have arrived. */
  record PrecedingResponsesReceived(long atNanos, String requestId) implements HistoryEvent {}

  /** What a stand-in answered. */
  enum ServerResponse {
    /** A value. */
    VALUE("value"),
    /** A damaged value. */
    DAMAGED_VALUE("spoilt"),
    /** A rejection without effect. */
    BUSY("busy"),
    /** An error. */
    ERROR("error");

    private final String word;

    ServerResponse(String word) {
      this.word = word;
    }

    /** Its word in reports. */
    String word() {
      return word;
    }
  }

  /** A stand-in has answered a command. */
  record ResponseSent(long atNanos, long commandNumber, ServerResponse answer, long digest)
      implements HistoryEvent {}

  /**
   * A command has run.
   *
   * @param discarded whether its effect was discarded as a repeat
   */
  record CommandExecuted(long atNanos, long commandNumber, boolean discarded)
      implements HistoryEvent {}

  /** A connection to a stand-in has ended, in that turn of its event loop. */
  record ServerConnectionEnded(long atNanos, long loopTurn, long connectionId)
      implements HistoryEvent {}

  /**
   * A cache server has started.
   *
   * @param cell group of servers within the zone that drop each other's repeats
   * @param bornNanos when it started; 0 for a server that was warm at the begin
   * @param capacity work that it does in a unit of time when warm
   */
  record CacheServerStarted(
      long atNanos, String server, String zone, int cell, long bornNanos, double capacity)
      implements HistoryEvent {}

  /** A cache server, or "origin", has collapsed under its load. */
  record ServerCollapsed(long atNanos, String server) implements HistoryEvent {}

  /**
   * A fetch or a write has reached the origin.
   *
   * @param warmingUp whether the cache server that sent it was warming up
   * @param inFlight how many the origin holds with it
   */
  record OriginFetched(long atNanos, String server, boolean warmingUp, int inFlight)
      implements HistoryEvent {}

  /** How a server is listed. */
  enum ListingState {
    READY,
    DRAINING,
    GONE
  }

  /** The endpoint list of discovery has changed. */
  record ListingChanged(long atNanos, String server, ListingState state) implements HistoryEvent {}

  /** A router was notified of a server. */
  record RouterNotified(long atNanos, int router, String server, ListingState state, long bornNanos)
      implements HistoryEvent {}

  /** A router has polled discovery. */
  record DiscoveryPolled(long atNanos, int router) implements HistoryEvent {}

  /** Discovery has become reachable, or unreachable. */
  record DiscoveryReachability(long atNanos, boolean reachable) implements HistoryEvent {}

  /**
   * A router was stopped.
   *
   * @param untilNanos end of a pause; the same time where the process ended
   * @param planned whether it was told to stop; otherwise it was killed or paused
   */
  record RouterStopped(long atNanos, long untilNanos, int router, boolean planned)
      implements HistoryEvent {}

  /** The process of a router ended though nobody had told it to. */
  record RouterCrashed(long atNanos, int router, String reason) implements HistoryEvent {}

  /** The member record of a router was written, or has been removed. */
  record MembershipChanged(long atNanos, int router, boolean member) implements HistoryEvent {}

  /** A router answers, after a start or a pause. */
  record RouterReady(long atNanos, int router) implements HistoryEvent {}

  /**
   * An instance is taken out to run another variant.
   *
   * @param router its number, or -1 for a cache server
   * @param toReleased whether it goes to what is released, or back to what it ran before
   */
  record VariantChangeStarted(long atNanos, String instanceId, int router, boolean toReleased)
      implements HistoryEvent {}

  /** The process of a cache server has ended; it is back with the next start under its name. */
  record CacheServerStopped(long atNanos, String server) implements HistoryEvent {}

  /** An operator has taken or returned a disruption permit to drain a cache server. */
  record DrainPermitChanged(long atNanos, String server, boolean taken) implements HistoryEvent {}

  /** A disruption permit was taken for an instance, which holds until it takes another. */
  record PermitTaken(long atNanos, String instanceId) implements HistoryEvent {}

  /** What discovery writes reaches a router at once from now on, or late or never. */
  record DiscoveryLinkChanged(long atNanos, int router, boolean prompt) implements HistoryEvent {}

  /** An operator has defined the disruption budget, in all and for one zone. */
  record DisruptionBudgetDefined(long atNanos, int maxUnavailable, int maxUnavailablePerZone)
      implements HistoryEvent {}

  /** An operator's command to a release was carried out: halt, resume, back. */
  record ReleaseCommanded(long atNanos, String command) implements HistoryEvent {}

  /** Stages of a configuration version. */
  enum VersionStage {
    PROPOSED,
    IN_FORCE
  }

  /**
   * A configuration version has reached a stage, as the store saw it.
   *
   * @param excluded cache servers that it excludes
   * @param maxAttempts attempts that it allows for a request; 0 where it does not say
   * @param nonIdempotentClasses classes of which nothing is to be repeated
   * @param limitsListAge whether nobody may act on an endpoint list from before the proposal
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
   * A plan of zone weights is in force.
   *
   * @param weights for each zone, the zones that serve its keys, in thousandths
   */
  record ZonePlanInForce(long atNanos, long number, Map<String, Map<String, Integer>> weights)
      implements HistoryEvent {}

  /** A fault of the scenario begins, or has ended. */
  record FaultChanged(long atNanos, boolean active) implements HistoryEvent {}

  /** A stand-in could not read what a router sent. */
  record UnreadableCommand(long atNanos, String server, int router, String reason)
      implements HistoryEvent {}

  /** The machine did not let the rehearsal itself run; time limits are longer by that. */
  record MachinePaused(long atNanos, long untilNanos) implements HistoryEvent {}
}
