package beaconturn.standin;

import java.util.List;

/**
 * What a class of request costs.
 *
 * @param type the class by name
 * @param work mean work of one, in nanoseconds of a warm worker at rated speed; each takes half to
 *     one and a half
 * @param size mean bytes of a value
 * @param write whether it has an effect
 * @param keyed whether repeats of one idempotency key are discarded
 * @param window how long they are, in nanoseconds
 * @param scope which servers discard them together: all, zone or cell
 */
public record WorkCost(
    String type, long work, int size, boolean write, boolean keyed, long window, String scope) {
  /** The class of that name; the first one for a name that is unknown. */
  static WorkCost of(List<WorkCost> all, String type) {
    return all.stream().filter(w -> w.type().equals(type)).findFirst().orElse(all.get(0));
  }
}
