package beaconturn.decision;

/** What is known of the connections to one server. */
final class ServerConnectivity {
  private long openUntilNanos;

  /** 0 for never. */
  private long failedAtNanos;

  /** Takes over all that another router has found. */
  void copyFrom(ServerConnectivity other) {
    openUntilNanos = other.openUntilNanos;
    failedAtNanos = other.failedAtNanos;
  }

  /** Whether a connection should be open, as long as nothing but idleness closes it. */
  boolean isOpen(long nowNanos) {
    return nowNanos < openUntilNanos;
  }

  /** Whether a connection was asked for in vain within the given time. */
  boolean failedWithin(long memoryNanos, long nowNanos) {
    return failedAtNanos != 0 && nowNanos - failedAtNanos < memoryNanos;
  }

  /** The server has answered on a connection, which stays open until then if nothing uses it. */
  void answered(long openUntil) {
    openUntilNanos = openUntil;
  }

  /** A connection was asked for in vain. */
  void failed(long nowNanos) {
    failedAtNanos = nowNanos;
    openUntilNanos = 0;
  }

  /** The server has started afresh: an earlier failure says nothing of it. */
  void forgetFailure() {
    failedAtNanos = 0;
  }
}
