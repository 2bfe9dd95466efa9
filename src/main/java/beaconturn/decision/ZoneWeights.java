package beaconturn.decision;

import java.util.List;
import java.util.function.IntFunction;

/**
 * How the keys are divided among zones, by the hash of the key. Each weight is a number of {@link
 * #TOTAL_WEIGHT} parts of all keys; keys beyond the sum of the weights are sent nowhere.
 *
 * <p>A key that finds no server in its zone goes to the router's own zone, and to the others in use
 * only if {@code overflow} allows it or its zone has no more than a trial weight.
 *
 * @param zones indexes of zones, the router's own first
 * @param weights the weight of each zone, in the same order
 * @param overflow whether any zone in use may take keys that find no server in theirs
 */
public record ZoneWeights(List<Integer> zones, List<Integer> weights, boolean overflow) {
  /** The weight of all keys. */
  public static final int TOTAL_WEIGHT = 1000;

  /**
   * The largest weight that counts as a trial: requests that must not be repeated are sent by it
   * only if there is no other way.
   */
  public static final int MAX_TRIAL_WEIGHT = 50;

  /** Any zone, by the ring alone. */
  public static final ZoneWeights UNWEIGHTED = new ZoneWeights(List.of(), List.of(), true);

  private static final int ANY_ZONE = -1;

  /** How many of the servers get more than trials; at least one where zones are weighted. */
  int serversInUse(List<ServerState> servers) {
    if (zones.isEmpty()) {
      return servers.size();
    }
    int count = 0;
    for (ServerState server : servers) {
      if (isInUse(server.zone())) {
        count++;
      }
    }
    return Math.max(1, count);
  }

  /** Whether more than trials go to the zone. */
  boolean isInUse(int zone) {
    return zones.isEmpty() || (zones.contains(zone) && isMoreThanTrial(zones.indexOf(zone)));
  }

  private boolean isMoreThanTrial(int index) {
    return weights.get(index) > MAX_TRIAL_WEIGHT;
  }

  /**
   * What the finder finds in the zone that the hash belongs to, or else in another zone that may
   * take its keys; null if none. The finder is asked for one zone after the other, or once for zone
   * -1, which stands for all of them.
   *
   * @param trialAllowed whether what is looked for may go where it might fail
   */
  <T> T findFirst(long hash, boolean trialAllowed, IntFunction<T> finder) {
    if (zones.isEmpty()) {
      return finder.apply(ANY_ZONE);
    }
    int chosen = indexFor(hash);
    if (chosen == weights.size()) {
      return null;
    }
    boolean trial = !isMoreThanTrial(chosen);
    boolean asLastResort = trial && !trialAllowed;
    T found = asLastResort ? null : finder.apply(zones.get(chosen));
    for (int i = 0; found == null && i < weights.size(); i++) {
      if (i != chosen && isMoreThanTrial(i) && (i == 0 || overflow || trial)) {
        found = finder.apply(zones.get(i));
      }
    }
    return found == null && asLastResort ? finder.apply(zones.get(chosen)) : found;
  }

  /** The zone whose part of the keys the hash is in; the number of zones for none. */
  private int indexFor(long hash) {
    int part = (int) Long.remainderUnsigned(KeyHash.mix(~hash), TOTAL_WEIGHT);
    int index = 0;
    while (index < weights.size() && part >= weights.get(index)) {
      part -= weights.get(index);
      index++;
    }
    return index;
  }
}
