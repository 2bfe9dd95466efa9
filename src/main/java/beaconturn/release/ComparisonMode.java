package beaconturn.release;

/** How certain a comparison has to be, which depends on how often it is repeated. */
enum ComparisonMode {
  /** Until an instance has passed its check: one false alarm in a hundred comparisons. */
  CHECK(2.33, false),
  /**
   * Afterwards: one false alarm in a million, as many instances are compared again and again. What
   * is not certain goes on adding up until it is.
   */
  WATCH(4.75, true);

  private final double standardErrors;
  private final boolean awaitsReadings;

  ComparisonMode(double standardErrors, boolean awaitsReadings) {
    this.standardErrors = standardErrors;
    this.awaitsReadings = awaitsReadings;
  }

  /** Standard errors by which a share must exceed its bound. */
  double standardErrors() {
    return standardErrors;
  }

  /** Whether the verdict waits until there are enough readings for means. */
  boolean awaitsReadings() {
    return awaitsReadings;
  }
}
