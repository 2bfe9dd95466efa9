package beaconturn.release;

/**
 * Metrics that an agent reports of its instance. Counters grow from the start of a process; gauges
 * are as of the report.
 */
public enum InstanceMetric implements SerializedName {
  /** Counter: successful answers. */
  SERVED("good", false),
  /** Counter: rejections and errors. */
  FAILED("bad", false),
  /** Counter: successful answers that came after the latency objective of their class. */
  LATE("late", false),
  /** Counter: answers of cache servers that had the key. */
  HITS("hits", false),
  /** Counter: answers of cache servers that did not have the key. */
  MISSES("misses", false),
  /** Counter: microseconds that all hits took together. */
  HIT_MICROS("hit_micros", false),
  /** Counter: readings that the agent took of its instance. */
  READINGS("readings", false),
  /** Counter: share of the listed cache servers that was avoided, in millionths, over readings. */
  AVOIDED_MILLIONTHS("avoided", false),
  /** Counter: resident memory in kB, over readings. */
  MEMORY_KB("memory", false),
  /** Gauge: answers a second. */
  RESPONSES_PER_SECOND("rate", true),
  /** Gauge: processor time in use, in thousandths of a core. */
  CPU_MILLICORES("busy", true),
  /** Gauge: processor time that may be used, in thousandths of a core. */
  CPU_LIMIT_MILLICORES("cores", true),
  /** Gauge: open client connections. */
  CONNECTIONS("connections", true),
  /** Gauge: client connections that may be open. */
  MAX_CONNECTIONS("most_connections", true);

  private final String word;
  private final boolean gauge;

  InstanceMetric(String word, boolean gauge) {
    this.word = word;
    this.gauge = gauge;
  }

  /** Whether it is as of the report, and not counted. */
  boolean isGauge() {
    return gauge;
  }

  /** Its word in the store. */
  @Override
  public String serializedName() {
    return word;
  }
}
