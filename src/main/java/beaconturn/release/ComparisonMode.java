package beaconturn.release;

/** Significance that a comparison requires, depending on how often it is repeated. */
enum ComparisonMode {
  /** Canary check of one instance: about one false positive in 100 comparisons. */
  CHECK(2.33, false),
  /**
   * Repeated comparison of all verified instances: about one false positive in a million. The
   * baseline is kept while a difference is not significant, so that more data accumulates.
   */
  WATCH(4.75, true);

  private final double standardErrors;
  private final boolean requiresReadings;

  ComparisonMode(double standardErrors, boolean requiresReadings) {
    this.standardErrors = standardErrors;
    this.requiresReadings = requiresReadings;
  }

  /** Returns the number of standard errors that makes the difference of two shares significant. */
  double standardErrors() {
    return standardErrors;
  }

  /** Returns whether the verdict is pending until there are enough readings to compare means. */
  boolean requiresReadings() {
    return requiresReadings;
  }
}
