package beaconturn.standin;

import java.util.List;

/**
 * What requests of one class cost a cache server.
 *
 * @param requestClass the name of the class
 * @param workNanos mean work of a request, in nanoseconds of a warm worker at rated speed; each
 *     request takes half to one and a half of it
 * @param valueBytes size of a value
 * @param write whether a request has an effect
 * @param idempotencyKeys whether repeated writes with the same idempotency key are discarded
 * @param deduplicationWindowNanos how long idempotency keys are remembered
 * @param deduplicationScope which cache servers share the remembered keys: all, zone or cell
 */
public record WorkCost(
    String requestClass,
    long workNanos,
    int valueBytes,
    boolean write,
    boolean idempotencyKeys,
    long deduplicationWindowNanos,
    String deduplicationScope) {
  /** Returns the cost of a class; that of the first class if the name is unknown. */
  static WorkCost forClass(List<WorkCost> costs, String requestClass) {
    return costs.stream()
        .filter(cost -> cost.requestClass().equals(requestClass))
        .findFirst()
        .orElse(costs.get(0));
  }
}
