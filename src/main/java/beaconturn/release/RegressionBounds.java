package beaconturn.release;

/**
 * By how much a changed part may do worse than the others in the same time.
 *
 * @param bad refusals and failures, as a part of the answers
 * @param late answers after their aim, as a part of those that served
 * @param missed answers of cache servers that did not have the key, as a part of all of theirs
 * @param avoided listed cache servers that it avoids, as a part of all
 * @param memory resident memory, as a part of the others'
 * @param slower time that hits take, as a part of the others'
 */
public record RegressionBounds(
    double bad, double late, double missed, double avoided, double memory, double slower) {
  /** The usual ones. */
  public static final RegressionBounds USUAL = new RegressionBounds(0.02, 0.05, 0.2, 0.34, 0.3, 1);

  /** The usual ones but for refusals and failures. */
  public static RegressionBounds of(double bad) {
    return new RegressionBounds(
        bad, USUAL.late, USUAL.missed, USUAL.avoided, USUAL.memory, USUAL.slower);
  }
}
