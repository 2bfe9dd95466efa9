package beaconturn.release;

/**
 * Metrics that an agent reports of its instance. Counters start at 0 with each process; gauges are
 * values at the time of the report.
 */
public enum InstanceMetric implements SerializedName {
  /** Counter: successful responses. */
  SERVED("good", false),
  /** Counter: rejections and errors. */
  FAILED("bad", false),
  /** Counter: successful responses after the latency objective of their class. */
  LATE("late", false),
  /** Counter: responses of cache servers that had the key. */
  HITS("hits", false),
  /** Counter: responses of cache servers that did not have the key. */
  MISSES("misses", false),
  /** Counter: total duration of hits in microseconds. */
  HIT_MICROS("hit_micros", false),
  /** Counter: readings that the agent took of the instance. */
  READINGS("readings", false),
  /** Counter: avoided share of the listed cache servers in millionths, summed over readings. */
  AVOIDED_MILLIONTHS("avoided", false),
  /** Counter: resident memory in kB, summed over readings. */
  MEMORY_KB("memory", false),
  /** Gauge: responses per second. */
  RESPONSES_PER_SECOND("rate", true),
  /** Gauge: CPU in use, in thousandths of a core. */
  CPU_MILLICORES("busy", true),
  /** Gauge: CPU limit, in thousandths of a core. */
  CPU_LIMIT_MILLICORES("cores", true),
  /** Gauge: open client connections. */
  CONNECTIONS("connections", true),
  /** Gauge: limit of open client connections. */
  MAX_CONNECTIONS("most_connections", true);

  private final String serializedName;
  private final boolean gauge;

  InstanceMetric(String serializedName, boolean gauge) {
    this.serializedName = serializedName;
    this.gauge = gauge;
  }

  boolean isGauge() {
    return gauge;
  }

  @Override
  public String serializedName() {
    return serializedName;
  }
}
