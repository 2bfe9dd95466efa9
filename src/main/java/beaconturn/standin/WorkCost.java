package beaconturn.standin;

import java.util.List;

/**
 * What a class of request costs.
 *
 * @param requestClass the class by name
 * @param workNanos mean work of one, in nanoseconds of a warm worker at rated speed; each takes
 *     half to one and a half
 * @param valueBytes mean bytes of a value
 * @param write whether it has an effect
 * @param idempotencyKeys whether repeats of one idempotency key are discarded
 * @param deduplicationWindowNanos how long they are, in nanoseconds
 * @param deduplicationScope which servers discard them together: all, zone or cell
 */
public record WorkCost(
    String requestClass,
    long workNanos,
    int valueBytes,
    boolean write,
    boolean idempotencyKeys,
    long deduplicationWindowNanos,
    String deduplicationScope) {
  /** The class of that name; the first one for a name that is unknown. */
  static WorkCost of(List<WorkCost> all, String requestClass) {
    return all.stream()
        .filter(w -> w.requestClass().equals(requestClass))
        .findFirst()
        .orElse(all.get(0));
  }
}
