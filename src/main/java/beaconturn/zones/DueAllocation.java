package beaconturn.zones;

/**
 * What a router sends by.
 *
 * @param allocation of its zone
 * @param overflow whether another zone of it than the router's own may take what its own weight has
 *     no room for
 * @param description of where it comes from, in words
 */
public record DueAllocation(ZoneAllocation allocation, boolean overflow, String description) {}
