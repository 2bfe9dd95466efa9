package beaconturn.release;

/**
 * The result of comparing a changed instance with its peers.
 *
 * @param outcome outcome of the comparison
 * @param explanation the compared figures in words
 */
record CanaryVerdict(Outcome outcome, String explanation) {
  /** Outcomes of a comparison. */
  enum Outcome {
    /** There is not enough data yet. */
    PENDING,
    /** The instance is within the regression bounds. */
    PASSED,
    /** The instance exceeds a regression bound. */
    REGRESSED
  }

  static CanaryVerdict pending(String explanation) {
    return new CanaryVerdict(Outcome.PENDING, explanation);
  }

  static CanaryVerdict passed(String explanation) {
    return new CanaryVerdict(Outcome.PASSED, explanation);
  }

  static CanaryVerdict regressed(String explanation) {
    return new CanaryVerdict(Outcome.REGRESSED, explanation);
  }
}
