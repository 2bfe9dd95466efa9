package beaconturn.stats;

/** How a request ended. Each request ends in exactly one of these ways. */
public enum RequestEnd {
  /** With a successful response. */
  SUCCEEDED("answered"),
  /** With a rejection, which guarantees that the request had no effect. */
  REJECTED("deferred"),
  /** With an error; the request may have had an effect. */
  FAILED("errored"),
  /** The client disconnected; not counted by class. */
  ABANDONED("abandoned");

  private final String metricName;

  RequestEnd(String metricName) {
    this.metricName = metricName;
  }

  /** The first part of the exported metric's name. */
  String metricName() {
    return metricName;
  }
}
