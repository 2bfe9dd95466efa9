package beaconturn.history;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** An invariant, and how a history shows whether it held; for one use. */
abstract class Invariant {
  private static final double NANOS_PER_TENTH_OF_MILLI = 1e5;
  private static final double TENTHS = 10.0;
  private final String name;
  private final String summary;
  private final List<Violation> violations = new ArrayList<>();
  private final List<Violation> notes = new ArrayList<>();
  private long checked;
  private long maxNanos;

  /** An invariant with its name and its summary, as reports tell them. */
  Invariant(String name, String summary) {
    this.name = name;
    this.summary = summary;
  }

  /** Goes through the history and calls {@link #check} for each chance of a violation. */
  abstract void evaluate(HistoryIndex history);

  /** Counts one chance of a violation, and the violation unless it held. */
  protected void check(
      boolean held, long atNanos, String requestId, String server, String description) {
    checked++;
    if (!held) {
      violations.add(new Violation(atNanos, requestId, server, description));
    }
  }

  /** Counts one chance of a violation, which there was not. */
  protected void countHeld() {
    checked++;
  }

  /** Notes what violates nothing and is of interest to operators. */
  protected void note(long atNanos, String requestId, String server, String description) {
    notes.add(new Violation(atNanos, requestId, server, description));
  }

  /** Observes a time that the invariant bounds; the result tells the longest. */
  protected void observe(long nanos) {
    maxNanos = Math.max(maxNanos, nanos);
  }

  /** Checks a history. */
  final InvariantResult result(HistoryIndex history) {
    evaluate(history);
    violations.sort(Comparator.comparingLong(Violation::atNanos));
    return new InvariantResult(
        name, summary, checked, maxNanos, List.copyOf(violations), List.copyOf(notes));
  }

  /** A time in milliseconds, in words. */
  static String millis(long nanos) {
    return Math.round(nanos / NANOS_PER_TENTH_OF_MILLI) / TENTHS + " ms";
  }
}
