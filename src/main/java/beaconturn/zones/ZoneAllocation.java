package beaconturn.zones;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Where the keys of one zone go: in thousandths of all of them, by the hash of the key, in this
 * order. What is missing to a thousand is rejected at once. The same keys always go first, so that
 * far cache servers warm up for few.
 *
 * @param weights thousandths by zone, the zone itself first
 */
public record ZoneAllocation(Map<String, Integer> weights) {
  /** All keys. */
  public static final int TOTAL_WEIGHT = 1000;

  /**
   * So small a part is a trial: it tells how a zone does, and nothing that must not be repeated
   * goes by it.
   */
  public static final int TRIAL_WEIGHT = 10;

  /**
   * Where nearly all of a zone's keys are served elsewhere so many are tried there, to see when it
   * is back.
   */
  public static final int NEAR_TRIAL_WEIGHT = 50;

  /** An allocation of its own: later changes of the argument change nothing. */
  public ZoneAllocation {
    weights = Collections.unmodifiableMap(new LinkedHashMap<>(weights));
  }

  /** All keys at the zone itself. */
  static ZoneAllocation allNear(String home) {
    return new ZoneAllocation(Map.of(home, TOTAL_WEIGHT));
  }

  int weightOf(String zone) {
    return weights.getOrDefault(zone, 0);
  }

  int totalWeight() {
    return weights.values().stream().mapToInt(Integer::intValue).sum();
  }

  /** The zones that it names, in their order. */
  List<String> zones() {
    return new ArrayList<>(weights.keySet());
  }

  /** The weight of the keys that go elsewhere than by another allocation. */
  int weightMovedFrom(ZoneAllocation other) {
    int moved = 0;
    for (Map.Entry<String, Integer> entry : weights.entrySet()) {
      moved += Math.max(0, entry.getValue() - other.weightOf(entry.getKey()));
    }
    return Math.max(moved, other.totalWeight() - totalWeight());
  }
}
