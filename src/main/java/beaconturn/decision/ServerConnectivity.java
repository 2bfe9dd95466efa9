package beaconturn.decision;

/** State of the router's connections to one server. */
final class ServerConnectivity {
  private long openUntilNanos;

  /** When opening a connection last failed; 0 for never. */
  private long failedAtNanos;

  /** Copies the state found by another router. */
  void copyFrom(ServerConnectivity other) {
    openUntilNanos = other.openUntilNanos;
    failedAtNanos = other.failedAtNanos;
  }

  /** Whether a connection is expected to be open, assuming that only idleness closes it. */
  boolean isOpen(long nowNanos) {
    return nowNanos < openUntilNanos;
  }

  /** Whether opening a connection has failed within the given time. */
  boolean failedWithin(long periodNanos, long nowNanos) {
    return failedAtNanos != 0 && nowNanos - failedAtNanos < periodNanos;
  }

  /** Records a response on a connection that, if idle, stays open until the given time. */
  void responded(long untilNanos) {
    openUntilNanos = untilNanos;
  }

  /** Records a failure to open a connection. */
  void failed(long nowNanos) {
    failedAtNanos = nowNanos;
    openUntilNanos = 0;
  }

  /** Clears the failure after a restart of the server. */
  void clearFailure() {
    failedAtNanos = 0;
  }
}
