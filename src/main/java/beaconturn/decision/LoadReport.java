package beaconturn.decision;

/** Last load reported by a server, and when it was received. */
final class LoadReport {
  private double busyRequests;
  private long reportedAtNanos;

  /** Copies the report received by another router. */
  void copyFrom(LoadReport other) {
    busyRequests = other.busyRequests;
    reportedAtNanos = other.reportedAtNanos;
  }

  /** Records the number of requests that the server reports to be executing. */
  void update(double reportedBusyRequests, long nowNanos) {
    busyRequests = reportedBusyRequests;
    reportedAtNanos = nowNanos;
  }

  double busyRequests() {
    return busyRequests;
  }

  /** Returns the age of the report, in nanoseconds. */
  long ageNanos(long nowNanos) {
    return nowNanos - reportedAtNanos;
  }
}
