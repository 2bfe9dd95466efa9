package beaconturn.net.control;

/**
 * What operators said last of one cache server.
 *
 * @param id the cache server's name
 * @param excluded whether it is excluded, or back in use
 * @param atMillis when it was said, by {@link MonotonicMillis}
 */
public record ServerOverride(String id, boolean excluded, long atMillis) {}
