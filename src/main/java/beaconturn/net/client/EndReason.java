package beaconturn.net.client;

/** Why a client's connection ends. */
public enum EndReason {
  /** The client closed it, or its end failed. */
  CLIENT_LEFT("the client left"),
  /** Nothing came on a new connection. */
  SILENT("nothing came on it"),
  /** Nothing was open on it for a while. */
  IDLE("idle"),
  /** Another client needed its place. */
  MAKES_ROOM("makes room for others"),
  /** A command that had begun was not whole in time. */
  SLOW_COMMAND("a command was not whole in time"),
  /** A command stood still after its first bytes while others needed the place. */
  STALLED_COMMAND("a command stood still and others need the place"),
  /** The client took no byte of an answer. */
  ANSWER_NOT_TAKEN("an answer was not taken"),
  /** Its sending had been ended, and the client did not close its end. */
  LINGERED("the client did not close its end"),
  /** The router stops as planned, and nothing was owed on the connection any more. */
  PLANNED_STOP("a planned stop"),
  /** What came cannot be split into commands. */
  MALFORMED("malformed input"),
  /** An answer that had begun broke off at its cache server. */
  ANSWER_BROKE_OFF("an answer broke off at its cache server"),
  /** The router itself failed. */
  DEFECT("a defect of the router");

  private final String words;

  EndReason(String words) {
    this.words = words;
  }

  /** Whether the client itself has given up what was open. */
  boolean isByClient() {
    return this == CLIENT_LEFT || this == ANSWER_NOT_TAKEN;
  }

  /** Whether it is worth a line: not where clients leave or rest as they always do. */
  boolean isNotable() {
    return this == MAKES_ROOM
        || this == SLOW_COMMAND
        || this == STALLED_COMMAND
        || this == ANSWER_NOT_TAKEN;
  }

  @Override
  public String toString() {
    return words;
  }
}
