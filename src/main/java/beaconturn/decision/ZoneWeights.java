package beaconturn.decision;

import java.util.List;
import java.util.function.IntFunction;

/**
 * Division of keys among zones, by the hash of the key. Each weight is in units of {@link
 * #TOTAL_WEIGHT} for all keys; keys beyond the sum of the weights are not sent to any zone.
 *
 * <p>If a key's zone has no eligible server, the router's own zone takes it, and other zones in use
 * take it only if {@code overflow} is set or the key's zone has at most a trial weight.
 *
 * @param zones zone indexes, the router's own first
 * @param weights weight of each zone, in the same order
 * @param overflow whether any zone in use may take keys whose zone has no eligible server
 */
public record ZoneWeights(List<Integer> zones, List<Integer> weights, boolean overflow) {
  /** Weight of all keys. */
  public static final int TOTAL_WEIGHT = 1000;

  /**
   * Largest weight of a trial zone; requests that must not be repeated are sent there only as a
   * last resort.
   */
  public static final int MAX_TRIAL_WEIGHT = 50;

  /** No weights: all zones are used according to the ring alone. */
  public static final ZoneWeights UNWEIGHTED = new ZoneWeights(List.of(), List.of(), true);

  private static final int ANY_ZONE = -1;

  /**
   * Returns the number of servers in zones above a trial weight; at least one if zones are
   * weighted.
   */
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

  /** Whether the zone has more than a trial weight. */
  boolean isInUse(int zone) {
    return zones.isEmpty() || (zones.contains(zone) && exceedsTrialWeight(zones.indexOf(zone)));
  }

  private boolean exceedsTrialWeight(int index) {
    return weights.get(index) > MAX_TRIAL_WEIGHT;
  }

  /**
   * Returns the first result of the finder, asked for the zone of the hash and then for the other
   * zones that may take its keys; null if there is none. Without weights, the finder is asked once
   * for zone -1, which stands for all zones.
   *
   * @param trialAllowed whether the request may be sent where it is likely to fail
   */
  <T> T findFirst(long hash, boolean trialAllowed, IntFunction<T> finder) {
    if (zones.isEmpty()) {
      return finder.apply(ANY_ZONE);
    }
    int chosen = indexFor(hash);
    if (chosen == weights.size()) {
      return null;
    }
    boolean trialZone = !exceedsTrialWeight(chosen);
    boolean onlyAsLastResort = trialZone && !trialAllowed;
    T found = onlyAsLastResort ? null : finder.apply(zones.get(chosen));
    for (int i = 0; found == null && i < weights.size(); i++) {
      if (i != chosen && exceedsTrialWeight(i) && (i == 0 || overflow || trialZone)) {
        found = finder.apply(zones.get(i));
      }
    }
    return found == null && onlyAsLastResort ? finder.apply(zones.get(chosen)) : found;
  }

  /** Returns the index of the zone that the hash belongs to; the number of zones for none. */
  private int indexFor(long hash) {
    int position = (int) Long.remainderUnsigned(KeyHash.mix(~hash), TOTAL_WEIGHT);
    int index = 0;
    while (index < weights.size() && position >= weights.get(index)) {
      position -= weights.get(index);
      index++;
    }
    return index;
  }
}
