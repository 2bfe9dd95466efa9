package beaconturn.release;

/**
 * Metrics of a changed instance and of its peers over the same time.
 *
 * @param changed metrics of the changed instance
 * @param peers sums over the peers
 * @param peerCount number of peers
 */
record ComparedSamples(InstanceSample changed, InstanceSample peers, int peerCount) {
  /** Minimum number of readings for a mean. */
  private static final long MIN_READINGS = 8;

  boolean hasPeers() {
    return peerCount > 0;
  }

  /** Returns whether either side has too few readings to compare means. */
  boolean hasFewReadings() {
    return hasFewReadings(changed) || hasFewReadings(peers);
  }

  /** A sample without readings is not too few: its agent reports responses only. */
  private static boolean hasFewReadings(InstanceSample sample) {
    long readings = sample.valueOf(InstanceMetric.READINGS);
    return readings > 0 && readings < MIN_READINGS;
  }
}
