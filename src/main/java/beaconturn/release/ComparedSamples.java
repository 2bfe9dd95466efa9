package beaconturn.release;

/**
 * Metrics of a changed instance and of its peers, over the same time.
 *
 * @param changed metrics of the instance
 * @param peers sums over the peers
 * @param peerCount how many peers there are
 */
record ComparedSamples(InstanceSample changed, InstanceSample peers, int peerCount) {
  /** Readings that a mean needs. */
  private static final long MIN_READINGS = 8;

  boolean hasPeers() {
    return peerCount > 0;
  }

  /** Whether one of both sides was read too seldom to compare means. */
  boolean hasFewReadings() {
    return hasFewReadings(changed) || hasFewReadings(peers);
  }

  /** An agent that reports answers only takes no readings, and has nothing to wait for. */
  private static boolean hasFewReadings(InstanceSample sample) {
    long readings = sample.valueOf(InstanceMetric.READINGS);
    return readings > 0 && readings < MIN_READINGS;
  }
}
