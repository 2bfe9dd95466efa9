package beaconturn.decision;

/** What is known of the connections to one server. */
final class ServerConnectivity {
  private long openUntilNanos;

  /** When opening a connection failed last; 0 for never. */
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

  /** Whether opening a connection has failed within the given time. */
  boolean failedWithin(long memoryNanos, long nowNanos) {
    return failedAtNanos != 0 && nowNanos - failedAtNanos < memoryNanos;
  }

  /** The server has answered on a connection, which stays open until then if nothing uses it. */
  void responded(long openUntil) {
    openUntilNanos = openUntil;
  }

  /** Opening a connection has failed. */
  void failed(long nowNanos) {
    failedAtNanos = nowNanos;
    openUntilNanos = 0;
  }

  /** The server has started afresh: an earlier failure says nothing of it. */
  void clearFailure() {
    failedAtNanos = 0;
  }
}
