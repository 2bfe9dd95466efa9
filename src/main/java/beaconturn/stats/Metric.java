package beaconturn.stats;

/**
 * One metric as it is now.
 *
 * @param name as operators know it
 * @param value now
 * @param gauge whether it may fall; else it only grows from the start of the process on
 */
public record Metric(String name, long value, boolean gauge) {}
