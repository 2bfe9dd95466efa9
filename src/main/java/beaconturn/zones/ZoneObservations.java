package beaconturn.zones;

/**
 * Observations of one zone by one router. The attempts are counted from the start of its process.
 *
 * @param successfulAttempts attempts that succeeded in time
 * @param failedAttempts attempts that failed, were reset, timed out or were answered late
 * @param successMicros total duration of the successful attempts
 * @param listedServers cache servers of the zone in the router's endpoint list
 * @param warmServers listed cache servers that are in service and warmed up
 * @param ejectedServers listed cache servers that the router has ejected
 */
public record ZoneObservations(
    long successfulAttempts,
    long failedAttempts,
    long successMicros,
    int listedServers,
    int warmServers,
    int ejectedServers) {
  /** Observations without attempts and servers. */
  public static final ZoneObservations NONE = new ZoneObservations(0, 0, 0, 0, 0, 0);

  /**
   * Returns the attempts since earlier observations by the same process, with the current server
   * counts.
   */
  ZoneObservations since(ZoneObservations earlier) {
    return new ZoneObservations(
        successfulAttempts - earlier.successfulAttempts,
        failedAttempts - earlier.failedAttempts,
        successMicros - earlier.successMicros,
        listedServers,
        warmServers,
        ejectedServers);
  }
}
