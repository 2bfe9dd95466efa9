package beaconturn.zones;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Distribution of one zone's keys over zones, in thousandths, by key hash and in iteration order.
 * The weight missing to {@link #TOTAL_WEIGHT} is rejected. The same keys are always moved first, so
 * that few keys have to be fetched into the cache servers of other zones.
 *
 * @param weights thousandths by zone, the home zone first
 */
public record ZoneAllocation(Map<String, Integer> weights) {
  /** Weight of all keys. */
  public static final int TOTAL_WEIGHT = 1000;

  /**
   * Weight up to which an allocation to another zone is only a trial, which provides evidence of
   * that zone. Requests that must not be repeated are not sent as a trial.
   */
  public static final int TRIAL_WEIGHT = 10;

  /** Weight that stays at a zone whose keys are served elsewhere, to detect its recovery. */
  public static final int HOME_TRIAL_WEIGHT = 50;

  /** Makes defensive copies of mutable arguments. */
  public ZoneAllocation {
    weights = Collections.unmodifiableMap(new LinkedHashMap<>(weights));
  }

  /** Returns an allocation of all keys to the home zone. */
  static ZoneAllocation allAtHome(String home) {
    return new ZoneAllocation(Map.of(home, TOTAL_WEIGHT));
  }

  int weightOf(String zone) {
    return weights.getOrDefault(zone, 0);
  }

  int totalWeight() {
    return weights.values().stream().mapToInt(Integer::intValue).sum();
  }

  /** Returns the zones of the allocation, in their order. */
  List<String> zones() {
    return new ArrayList<>(weights.keySet());
  }

  /** Returns the weight of the keys that another allocation sends elsewhere. */
  int weightMovedFrom(ZoneAllocation other) {
    int moved = 0;
    for (Map.Entry<String, Integer> entry : weights.entrySet()) {
      moved += Math.max(0, entry.getValue() - other.weightOf(entry.getKey()));
    }
    return Math.max(moved, other.totalWeight() - totalWeight());
  }
}
