package beaconturn.zones;

/**
 * An operator's override for a zone. It takes precedence over decisions by evidence.
 *
 * @param zone the zone
 * @param kind what happens to the keys of the zone
 * @param maxHomeWeight for {@link ZoneOverrideKind#WEIGHT}, the largest weight that the zone may
 *     keep
 * @param durationNanos time until the override expires, from when it is set; 0 for no expiry
 * @param author operator who set the override
 * @param reason why the override was set
 */
public record ZoneOverride(
    String zone,
    ZoneOverrideKind kind,
    int maxHomeWeight,
    long durationNanos,
    String author,
    String reason) {}
