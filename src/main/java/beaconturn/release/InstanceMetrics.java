package beaconturn.release;

import java.util.Locale;

/**
 * What an agent tells of its part. Counts grow from the begin of a process; levels are as they are
 * now.
 */
public enum InstanceMetrics {
  /** Answers that served. */
  GOOD,
  /** Refusals and failures. */
  BAD,
  /** Answers that served and came after their class's aim. */
  LATE,
  /** Answers of cache servers that had the key. */
  HITS,
  /** Answers of cache servers that did not have it. */
  MISSES,
  /** Microseconds that all hits took together. */
  HIT_MICROS,
  /** How often the part was asked. */
  READINGS,
  /** The part of the listed cache servers that it avoided, in millionths, over all readings. */
  AVOIDED,
  /** Resident memory in kB, over all readings. */
  MEMORY,
  /** Answers a second. */
  RATE(true),
  /** Processor in use, in thousandths of a core. */
  BUSY(true),
  /** Processor that it may use, in thousandths of a core. */
  CORES(true),
  /** Connections of clients that are open. */
  CONNECTIONS(true),
  /** Connections of clients that may be open. */
  MOST_CONNECTIONS(true);

  private final boolean level;

  InstanceMetrics() {
    this(false);
  }

  InstanceMetrics(boolean level) {
    this.level = level;
  }

  /** Whether it is as it is now, and not counted. */
  boolean level() {
    return level;
  }

  /** As it stands in the store. */
  String word() {
    return name().toLowerCase(Locale.ROOT);
  }
}
