package beaconturn.history;

import java.util.List;

/**
 * What the account says of one rule.
 *
 * @param rule its name
 * @param promise the rule in a few words
 * @param checked how many times it could have been broken
 * @param most the most that was seen of what the rule bounds, in nanoseconds; 0 where it bounds no
 *     time
 * @param offences all breaks in the order of time
 * @param notes what came about without a break, and an operator wants to know
 */
public record InvariantResult(
    String rule,
    String promise,
    long checked,
    long most,
    List<Violation> offences,
    List<Violation> notes) {
  /** Whether it was kept throughout. */
  public boolean held() {
    return offences.isEmpty();
  }
}
