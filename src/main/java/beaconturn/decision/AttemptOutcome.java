package beaconturn.decision;

/** How an attempt ended. */
public enum AttemptOutcome {
  /** Answered. */
  OK,
  /** Answered with an error; it may have had its effect. */
  ERROR,
  /** The server had no capacity for it and did nothing. */
  REJECTED,
  /** Not answered in the time that it had. */
  TIMEOUT,
  /** No connection to the server. */
  CONNECT_FAILED,
  /** The connection broke before the answer. */
  RESET,
  /** Cancelled by the router after it was written. */
  CANCELLED,
  /** No longer wanted before it was written. */
  SUPERSEDED,
  /** A cache beside the origin does not hold the key. */
  MISS,
  /** Not written for want of something on the router's own machine, as a descriptor or a port. */
  NOT_SENT;

  /** Whether the attempt had no effect for certain. */
  public boolean provesNoEffect() {
    return this == REJECTED
        || this == CONNECT_FAILED
        || this == SUPERSEDED
        || this == MISS
        || this == NOT_SENT;
  }

  /** Whether the server itself has said something. */
  public boolean serverResponded() {
    return this == OK || this == ERROR || this == REJECTED || this == MISS;
  }

  /** Whether a cache has done what was asked of it, be it to say that it lacks the key. */
  boolean isAnswer() {
    return this == OK || this == MISS;
  }

  /** Whether the router's own doing ended the attempt, which says nothing of the server. */
  public boolean endedLocally() {
    return this == CANCELLED || this == SUPERSEDED || this == NOT_SENT;
  }
}
