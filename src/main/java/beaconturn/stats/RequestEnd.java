package beaconturn.stats;

/** How a request ended, each in exactly one way. */
public enum RequestEnd {
  /** With a value or receipt. */
  ANSWERED("answered"),
  /** With a refusal that promises no effect. */
  REJECTED("deferred"),
  /** With an error that promises nothing. */
  FAILED("errored"),
  /** Its client has gone; not counted by class. */
  ABANDONED("abandoned");

  private final String metricName;

  RequestEnd(String metricName) {
    this.metricName = metricName;
  }

  /** The first part of the metric's name, as operators know it. */
  String metricName() {
    return metricName;
  }
}
