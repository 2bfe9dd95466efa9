package beaconturn.decision;

/** The load that a server last reported with an answer, and when. */
final class LoadReport {
  private double busyRequests;
  private long reportedAtNanos;

  /** Takes over another router's report. */
  void copyFrom(LoadReport other) {
    busyRequests = other.busyRequests;
    reportedAtNanos = other.reportedAtNanos;
  }

  /** Notes what the server reports: how many requests it is at work on. */
  void update(double requests, long nowNanos) {
    busyRequests = requests;
    reportedAtNanos = nowNanos;
  }

  double busyRequests() {
    return busyRequests;
  }

  /** How long ago the server reported, in nanoseconds. */
  long ageNanos(long nowNanos) {
    return nowNanos - reportedAtNanos;
  }
}
