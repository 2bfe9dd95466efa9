package beaconturn.release;

/**
 * Bounds on how much worse a changed instance may do than its peers over the same time.
 *
 * @param failedShare allowed difference in rejections and errors, as a share of all responses
 * @param lateShare allowed difference in responses after their latency objective, as a share of the
 *     successful ones
 * @param missedShare allowed difference in cache misses, as a share of all responses of cache
 *     servers
 * @param avoidedServersShare allowed difference in avoided cache servers, as a share of the listed
 *     ones
 * @param memoryRatio allowed excess of resident memory, relative to the mean of the peers
 * @param hitTimeRatio allowed excess of the duration of hits, relative to the mean of the peers
 */
public record RegressionBounds(
    double failedShare,
    double lateShare,
    double missedShare,
    double avoidedServersShare,
    double memoryRatio,
    double hitTimeRatio) {
  /** The bounds of a plan that specifies none. */
  public static final RegressionBounds DEFAULT =
      new RegressionBounds(0.02, 0.05, 0.2, 0.34, 0.3, 1);

  /** Returns the default bounds with another bound on the share of failed responses. */
  public static RegressionBounds ofFailedShare(double failedShare) {
    return new RegressionBounds(
        failedShare,
        DEFAULT.lateShare,
        DEFAULT.missedShare,
        DEFAULT.avoidedServersShare,
        DEFAULT.memoryRatio,
        DEFAULT.hitTimeRatio);
  }
}
