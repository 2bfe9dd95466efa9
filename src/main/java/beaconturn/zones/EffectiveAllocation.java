package beaconturn.zones;

/**
 * The allocation that a router sends by now.
 *
 * @param allocation where the keys of its zone go
 * @param overflow whether another zone of the allocation than the router's own may take keys for
 *     which theirs has no room
 * @param description where the allocation comes from, in words
 */
public record EffectiveAllocation(ZoneAllocation allocation, boolean overflow, String description) {}
