package beaconturn.net.control;

/**
 * What operators said last of one cache server: out, or back at {@code atMillis} of {@link
 * MachineTime}.
 */
public record Hand(String id, boolean out, long atMillis) {}
