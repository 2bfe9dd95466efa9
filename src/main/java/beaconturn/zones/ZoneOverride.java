package beaconturn.zones;

/**
 * What an operator has said of a zone; it wins over what is decided by evidence.
 *
 * @param zone the zone
 * @param kind what is to be done with its keys
 * @param maxHomeWeight for {@link ZoneOverrideKind#WEIGHT}, at most so many thousandths of its keys
 *     stay near
 * @param durationNanos how long it counts from when it is given; 0 without end
 * @param author who said so
 * @param reason why
 */
public record ZoneOverride(
    String zone,
    ZoneOverrideKind kind,
    int maxHomeWeight,
    long durationNanos,
    String author,
    String reason) {}
