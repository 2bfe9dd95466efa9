package beaconturn.zones;

/**
 * What an operator has said of a place; it wins over what is decided by evidence.
 *
 * @param place of which
 * @param what is to be
 * @param weight of {@link What#WEIGHT}: at most so many thousandths of its keys stay near
 * @param leftNanos for so long it still counts when it is given; 0 without end
 * @param by who said so
 * @param reason why
 */
public record ZoneOverride(
    String place, What what, int weight, long leftNanos, String by, String reason) {
  /** What is to be. */
  public enum What {
    /** Nothing goes there, but for the trial part. */
    DRAIN,
    /** Its row stays as it is. */
    HOLD,
    /** A part of its keys stays. */
    WEIGHT
  }
}
