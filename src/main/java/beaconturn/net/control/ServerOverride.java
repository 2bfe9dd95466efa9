package beaconturn.net.control;

/**
 * An operator override for one cache server.
 *
 * @param id name of the cache server
 * @param excluded whether the server is excluded, or included again
 * @param atMillis when the override was received, by {@link MonotonicMillis}
 */
public record ServerOverride(String id, boolean excluded, long atMillis) {}
