package beaconturn.history;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** An invariant that is checked against one history. An instance is used once. */
abstract class Invariant {
  private static final double NANOS_PER_TENTH_OF_MILLI = 1e5;
  private static final double TENTHS = 10.0;
  private final String name;
  private final String summary;
  private final List<Violation> violations = new ArrayList<>();
  private final List<Violation> notes = new ArrayList<>();
  private long checked;
  private long maxNanos;

  /** Creates an invariant with the name and the summary that reports print. */
  Invariant(String name, String summary) {
    this.name = name;
    this.summary = summary;
  }

  /** Checks the history, calling {@link #check} for each event that could violate the invariant. */
  abstract void evaluate(HistoryIndex history);

  /** Counts one check, and records a violation unless the invariant held. */
  protected void check(
      boolean held, long atNanos, String requestId, String server, String description) {
    checked++;
    if (!held) {
      violations.add(new Violation(atNanos, requestId, server, description));
    }
  }

  /** Counts one check that the invariant passed. */
  protected void countHeld() {
    checked++;
  }

  /** Records an event that operators should know of although it violates nothing. */
  protected void note(long atNanos, String requestId, String server, String description) {
    notes.add(new Violation(atNanos, requestId, server, description));
  }

  /** Records a duration that the invariant bounds; the result contains the maximum. */
  protected void recordDuration(long nanos) {
    maxNanos = Math.max(maxNanos, nanos);
  }

  /** Checks a history and returns the result. */
  final InvariantResult result(HistoryIndex history) {
    evaluate(history);
    violations.sort(Comparator.comparingLong(Violation::atNanos));
    return new InvariantResult(
        name, summary, checked, maxNanos, List.copyOf(violations), List.copyOf(notes));
  }

  /** Formats a duration in milliseconds with its unit. */
  static String millis(long nanos) {
    return Math.round(nanos / NANOS_PER_TENTH_OF_MILLI) / TENTHS + " ms";
  }
}
