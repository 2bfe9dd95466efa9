package beaconturn.zones;

/**
 * What one router has seen of one place by its own sends. Counts grow from the start of its
 * process.
 *
 * @param good attempts that were answered in time
 * @param bad attempts that failed, were reset, timed out or were answered late
 * @param micros what the good ones took together
 * @param listed cache servers that its list has there
 * @param warm of these, those in service and warmed up
 * @param ejected of these, those that it passes over
 */
public record ZoneObservations(
    long good, long bad, long micros, int listed, int warm, int ejected) {
  /** Nothing. */
  public static final ZoneObservations NONE = new ZoneObservations(0, 0, 0, 0, 0, 0);

  /** What came since an earlier one of the same process. */
  ZoneObservations since(ZoneObservations earlier) {
    return new ZoneObservations(
        good - earlier.good, bad - earlier.bad, micros - earlier.micros, listed, warm, ejected);
  }
}
