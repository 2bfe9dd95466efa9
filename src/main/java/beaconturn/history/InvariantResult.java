package beaconturn.history;

import java.util.List;

/**
 * The result of checking one invariant.
 *
 * @param invariant its name
 * @param summary the invariant in a few words
 * @param checked how many times it could have been violated
 * @param maxNanos the most that was observed of what it bounds; 0 where it bounds no time
 * @param violations all violations in the order of time
 * @param notes what happened without a violation and is of interest to operators
 */
public record InvariantResult(
    String invariant,
    String summary,
    long checked,
    long maxNanos,
    List<Violation> violations,
    List<Violation> notes) {
  /** Whether it held throughout. */
  public boolean held() {
    return violations.isEmpty();
  }
}
