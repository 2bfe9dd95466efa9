package beaconturn.stats;

/**
 * The current value of a metric.
 *
 * @param name the name under which it is exported
 * @param value the current value
 * @param gauge true for a gauge, false for a counter since the start of the process
 */
public record Metric(String name, long value, boolean gauge) {}
