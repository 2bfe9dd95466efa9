package beaconturn.zones;

/**
 * What an operator has said of a zone; it wins over what is decided by evidence.
 *
 * @param zone of which
 * @param kind what is to be
 * @param maxNearWeight of {@link ZoneOverrideKind#WEIGHT}: at most so many thousandths of its keys
 *     stay near
 * @param remainingNanos for so long it still counts when it is given; 0 without end
 * @param author who said so
 * @param reason why
 */
public record ZoneOverride(
    String zone,
    ZoneOverrideKind kind,
    int maxNearWeight,
    long remainingNanos,
    String author,
    String reason) {}
