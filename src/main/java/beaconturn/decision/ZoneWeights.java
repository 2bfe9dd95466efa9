package beaconturn.decision;

import java.util.List;
import java.util.function.IntFunction;

/**
 * Which places keys may go to: of {@link #WHOLE} parts of all, by their hash, so many to each, in
 * this order, the router's own first; what is missing to the whole goes nowhere. Parts up to {@link
 * #TRIAL} are trials. A place that has no server for a key leaves it to the router's own, and to
 * another only if {@code overflow}.
 */
public record ZoneWeights(List<Integer> zones, List<Integer> weights, boolean overflow) {
  /** All keys. */
  public static final int WHOLE = 1000;

  /**
   * Up to so many weights are trials: nothing that must not be repeated goes by them, if there is
   * another way.
   */
  public static final int TRIAL = 50;

  /** Any place, by the ring alone. */
  public static final ZoneWeights ANYWHERE = new ZoneWeights(List.of(), List.of(), true);

  /** Whether more than trials go there. */
  boolean uses(int place) {
    return zones.isEmpty() || (zones.contains(place) && weights.get(zones.indexOf(place)) > TRIAL);
  }

  /**
   * What is found in the first place for that hash that has it, or null; place -1 stands for all of
   * them.
   */
  <T> T first(long hash, boolean tries, IntFunction<T> in) {
    if (zones.isEmpty()) {
      return in.apply(-1);
    }
    int at = (int) Long.remainderUnsigned(KeyHash.mix(~hash), WHOLE);
    int chosen = 0;
    while (chosen < weights.size() && at >= weights.get(chosen)) {
      at -= weights.get(chosen++);
    }
    if (chosen == weights.size()) {
      return null;
    }
    boolean trial = weights.get(chosen) <= TRIAL;
    T found = trial && !tries ? null : in.apply(zones.get(chosen));
    for (int i = 0; found == null && i < weights.size(); i++) {
      found =
          i != chosen && weights.get(i) > TRIAL && (i == 0 || overflow || trial)
              ? in.apply(zones.get(i))
              : null;
    }
    return found == null && trial && !tries ? in.apply(zones.get(chosen)) : found;
  }
}
