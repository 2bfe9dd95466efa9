package beaconturn.release;

/**
 * By how much a changed instance may do worse than its peers over the same time.
 *
 * @param failed rejections and errors, as a share of all answers
 * @param late answers after their latency objective, as a share of the successful ones
 * @param missed cache misses, as a share of all answers of cache servers
 * @param avoidedServers listed cache servers that it avoids, as a share of all
 * @param memory resident memory, relative to that of the peers
 * @param hitTime duration of hits, relative to that of the peers
 */
public record RegressionBounds(
    double failed,
    double late,
    double missed,
    double avoidedServers,
    double memory,
    double hitTime) {
  /** The bounds that hold where a plan does not say others. */
  public static final RegressionBounds DEFAULT =
      new RegressionBounds(0.02, 0.05, 0.2, 0.34, 0.3, 1);

  /** The default bounds but for the share of failed answers. */
  public static RegressionBounds ofFailed(double failed) {
    return new RegressionBounds(
        failed,
        DEFAULT.late,
        DEFAULT.missed,
        DEFAULT.avoidedServers,
        DEFAULT.memory,
        DEFAULT.hitTime);
  }
}
