package beaconturn.release;

/**
 * The result of comparing a changed instance with its peers.
 *
 * @param outcome the result
 * @param explanation the figures that it rests on, in words
 */
record CanaryVerdict(Outcome outcome, String explanation) {
  /** Outcomes of a comparison. */
  enum Outcome {
    /** Too little is known. */
    PENDING,
    /** The instance does no worse than it may. */
    PASSED,
    /** The instance does worse than it may. */
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
