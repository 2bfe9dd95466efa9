package beaconturn.zones;

/**
 * What one router has seen of one zone by its own attempts. Counts grow from the start of its
 * process.
 *
 * @param successfulAttempts attempts that were answered in time
 * @param failedAttempts attempts that failed, were reset, timed out or were answered late
 * @param successMicros what the good ones took together
 * @param listedServers cache servers that its endpoint list has there
 * @param warmServers of these, those in service and warmed up
 * @param ejectedServers of these, those that it passes over
 */
public record ZoneObservations(
    long successfulAttempts,
    long failedAttempts,
    long successMicros,
    int listedServers,
    int warmServers,
    int ejectedServers) {
  /** Nothing was seen. */
  public static final ZoneObservations NONE = new ZoneObservations(0, 0, 0, 0, 0, 0);

  /** What came since an earlier one of the same process. */
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
