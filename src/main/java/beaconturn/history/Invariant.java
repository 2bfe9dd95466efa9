package beaconturn.history;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** One promise, and how an account shows whether it was kept. */
abstract class Invariant {
  private final String name;
  private final String promise;
  private final List<Violation> offences = new ArrayList<>();
  private final List<Violation> notes = new ArrayList<>();
  private long checked;
  private long most;

  Invariant(String name, String promise) {
    this.name = name;
    this.promise = promise;
  }

  /** Goes through the account, calling {@link #check} for each chance of a break. */
  abstract void judge(HistoryIndex evidence);

  /** Counts one chance of a break, which was one unless it held. */
  protected void check(boolean held, long at, String request, String server, String what) {
    checked++;
    if (!held) {
      offences.add(new Violation(at, request, server, what));
    }
  }

  /** Something that breaks no rule and is still worth knowing. */
  protected void note(long at, String request, String server, String what) {
    notes.add(new Violation(at, request, server, what));
  }

  /** How much there was of what the rule bounds; the most of it stands in the verdict. */
  protected void seen(long nanos) {
    most = Math.max(most, nanos);
  }

  /** The rule's verdict on the account; for one use. */
  InvariantResult on(HistoryIndex evidence) {
    judge(evidence);
    offences.sort(Comparator.comparingLong(Violation::at));
    return new InvariantResult(
        name, promise, checked, most, List.copyOf(offences), List.copyOf(notes));
  }

  static String millis(long nanos) {
    return Math.round(nanos / 1e5) / 10.0 + " ms";
  }
}
