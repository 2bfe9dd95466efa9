package beaconturn.history;

import java.util.List;

/**
 * The result of checking one invariant.
 *
 * @param invariant name of the invariant
 * @param summary the invariant in a few words
 * @param checked number of checks
 * @param maxNanos maximum of the durations that the invariant bounds; 0 if it bounds none
 * @param violations all violations in the order of time
 * @param notes events that violate nothing and are of interest to operators
 */
public record InvariantResult(
    String invariant,
    String summary,
    long checked,
    long maxNanos,
    List<Violation> violations,
    List<Violation> notes) {
  /** Returns whether there was no violation. */
  public boolean held() {
    return violations.isEmpty();
  }
}
