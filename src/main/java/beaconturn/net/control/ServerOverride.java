package beaconturn.net.control;

/**
 * What operators said last of one cache server: out, or back at {@code atMillis} of {@link
 * MonotonicMillis}.
 */
public record ServerOverride(String id, boolean out, long atMillis) {}
