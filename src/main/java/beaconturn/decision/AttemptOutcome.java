package beaconturn.decision;

/** How an attempt ended. */
public enum AttemptOutcome {
  /** The server returned a successful response. */
  OK,
  /** The server returned an error; the request may have had its effect. */
  ERROR,
  /** The server was out of capacity and did not execute the request. */
  REJECTED,
  /** No response arrived within the timeout. */
  TIMEOUT,
  /** No connection to the server could be opened. */
  CONNECT_FAILED,
  /** The connection broke before the response. */
  RESET,
  /** Cancelled by the router after it was written. */
  CANCELLED,
  /** Cancelled by the router before it was written. */
  SUPERSEDED,
  /** The cache does not hold the key, in cache-aside mode. */
  MISS,
  /**
   * Not written because the router's machine lacked a resource, such as a file descriptor or a
   * port.
   */
  NOT_SENT;

  /** Whether the attempt certainly had no effect. */
  public boolean provesNoEffect() {
    return this == REJECTED
        || this == CONNECT_FAILED
        || this == SUPERSEDED
        || this == MISS
        || this == NOT_SENT;
  }

  /** Whether the server itself responded. */
  public boolean serverResponded() {
    return this == OK || this == ERROR || this == REJECTED || this == MISS;
  }

  /** Whether the cache served the attempt, including by reporting a miss. */
  boolean isSuccessOrMiss() {
    return this == OK || this == MISS;
  }

  /**
   * Whether the router itself ended the attempt, so that the outcome says nothing about the server.
   */
  public boolean endedLocally() {
    return this == CANCELLED || this == SUPERSEDED || this == NOT_SENT;
  }
}
