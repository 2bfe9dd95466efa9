package beaconturn.decision;

/**
 * How an attempt ended. One that is moot was not wanted any more before it was written; one that is
 * unsent failed for want of something on the router's own machine, such as a descriptor or a port.
 */
public enum AttemptOutcome {
  OK,
  ERROR,
  REJECTED,
  TIMEOUT,
  CONNECT_FAILED,
  RESET,
  CANCELLED,
  SUPERSEDED,
  MISS,
  NOT_SENT;

  /** True where the ending proves that the attempt had no effect. */
  public boolean provesNoEffect() {
    return this == REJECTED
        || this == CONNECT_FAILED
        || this == SUPERSEDED
        || this == MISS
        || this == NOT_SENT;
  }

  /** True where the server itself has said something. */
  public boolean serverResponded() {
    return this == OK || this == ERROR || this == REJECTED || this == MISS;
  }

  /** True where the router's own doing ended the attempt, which says nothing of the server. */
  public boolean endedLocally() {
    return this == CANCELLED || this == SUPERSEDED || this == NOT_SENT;
  }
}
