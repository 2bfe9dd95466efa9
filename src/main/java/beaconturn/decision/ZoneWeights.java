package beaconturn.decision;

import java.util.List;
import java.util.function.IntFunction;

/**
 * Which zones serve which part of the keys: of {@link #WHOLE} parts of all keys, by their hash, so
 * many go to each zone, in this order, the router's own first; what is missing to the whole goes
 * nowhere. Weights up to {@link #TRIAL} are trials. A zone that has no server for a key leaves it
 * to the router's own, and to another only if {@code overflow}.
 */
public record ZoneWeights(List<Integer> zones, List<Integer> weights, boolean overflow) {
  /** The weight of all keys. */
  public static final int WHOLE = 1000;

  /**
   * Weights up to this one are trials: nothing that must not be repeated goes by them, if there is
   * another way.
   */
  public static final int TRIAL = 50;

  /** Any zone, by the ring alone. */
  public static final ZoneWeights ANYWHERE = new ZoneWeights(List.of(), List.of(), true);

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
    return weights.get(index) > TRIAL;
  }

  /**
   * What is found in the first zone for that hash that has it, or null; {@code finder} is asked for
   * one zone after the other, or once for zone -1, which stands for all of them.
   *
   * @param fitForTrial whether what is looked for may go where it might fail
   */
  <T> T first(long hash, boolean fitForTrial, IntFunction<T> finder) {
    if (zones.isEmpty()) {
      return finder.apply(ANY_ZONE);
    }
    int chosen = indexFor(hash);
    if (chosen == weights.size()) {
      return null;
    }
    boolean trial = !isMoreThanTrial(chosen);
    boolean asLastResort = trial && !fitForTrial;
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
    int part = (int) Long.remainderUnsigned(KeyHash.mix(~hash), WHOLE);
    int index = 0;
    while (index < weights.size() && part >= weights.get(index)) {
      part -= weights.get(index);
      index++;
    }
    return index;
  }
}
