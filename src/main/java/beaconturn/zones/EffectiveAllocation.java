package beaconturn.zones;

/**
 * The allocation by which a router distributes its requests at present.
 *
 * @param allocation distribution of the keys of the router's home zone
 * @param overflow whether other zones of the allocation may take keys for which the home zone has
 *     no capacity
 * @param description origin of the allocation, for the log
 */
public record EffectiveAllocation(
    ZoneAllocation allocation, boolean overflow, String description) {}
