package beaconturn.release;

import beaconturn.agreement.EndpointView;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Instances that are unavailable without a permit, as observed. An instance that no router vouches
 * for counts as unavailable: a budget that took silence for health would let the last healthy
 * instance be taken out.
 *
 * @param reasons unavailable instances, each with the reason
 * @param latestStartNanos latest start of each cache server that any router knows of, by the clock
 *     of discovery
 * @param majorityStartNanos latest start of each cache server that more than half of the routers
 *     know of, of those in service
 * @param zoneReasons zones whose traffic is served elsewhere, each with the reason
 */
public record Unavailability(
    SortedMap<String, String> reasons,
    SortedMap<String, Long> latestStartNanos,
    SortedMap<String, Long> majorityStartNanos,
    SortedMap<String, String> zoneReasons) {
  /** How the reason of a router begins for a cache server that it has ejected. */
  static final String EJECTED = "ejected";

  /** No start is known. */
  private static final long UNKNOWN_START = -1;

  /** Copies the maps. */
  public Unavailability {
    reasons = copyOf(reasons);
    latestStartNanos = copyOf(latestStartNanos);
    majorityStartNanos = copyOf(majorityStartNanos);
    zoneReasons = copyOf(zoneReasons);
  }

  private static <V> SortedMap<String, V> copyOf(Map<String, V> map) {
    return Collections.unmodifiableSortedMap(new TreeMap<>(map));
  }

  /** These instances are unavailable, and no start is known. */
  static Unavailability of(Map<String, String> reasons) {
    return new Unavailability(
        new TreeMap<>(reasons), new TreeMap<>(), new TreeMap<>(), new TreeMap<>());
  }

  /** The same, while the traffic of these zones is served elsewhere. */
  public Unavailability withZonesOutOfService(Map<String, String> zones) {
    return new Unavailability(reasons, latestStartNanos, majorityStartNanos, new TreeMap<>(zones));
  }

  /**
   * Routers of the fleet that hold no lease: those that have ended, hang, or are cut off from the
   * store.
   */
  public static Unavailability ofRouters(ReleaseFleet.Group group, Set<String> leaseHolders) {
    SortedMap<String, String> reasons = new TreeMap<>();
    for (String router : group.instanceIds()) {
      if (!leaseHolders.contains(router)) {
        reasons.put(router, "holds no lease");
      }
    }
    return of(reasons);
  }

  /**
   * Cache servers that are not in service at more than half of the routers that report: excluded by
   * a configuration version, listed as draining or not at all, ejected, or still warming up.
   *
   * @param excluded cache servers that the version in force excludes, each with the reason
   * @param views what each router makes of the cache servers
   */
  public static Unavailability ofCaches(
      ReleaseFleet.Group group, Map<String, String> excluded, Collection<EndpointView> views) {
    SortedMap<String, String> reasons = new TreeMap<>();
    SortedMap<String, Long> latest = new TreeMap<>();
    SortedMap<String, Long> majority = new TreeMap<>();
    for (String server : group.instanceIds()) {
      List<Long> starts = startsDescending(server, views);
      if (!starts.isEmpty()) {
        latest.put(server, starts.get(0));
      }
      boolean inService = 2 * starts.size() > views.size();
      if (inService) {
        majority.put(server, starts.get(views.size() / 2));
      }
      if (excluded.containsKey(server)) {
        reasons.put(server, excluded.get(server));
      } else if (!inService) {
        reasons.put(server, outOfServiceReason(server, views, views.size() - starts.size()));
      }
    }
    return new Unavailability(reasons, latest, majority, new TreeMap<>());
  }

  /** Starts of a cache server as those routers know them that use it, the latest first. */
  private static List<Long> startsDescending(String server, Collection<EndpointView> views) {
    return views.stream()
        .filter(view -> view.usable().containsKey(server))
        .map(view -> view.usable().get(server))
        .sorted(Comparator.reverseOrder())
        .toList();
  }

  private static String outOfServiceReason(
      String server, Collection<EndpointView> views, int notUsing) {
    if (views.isEmpty()) {
      return "no router tells what it sees";
    }
    return mostFrequentReason(server, views)
        + " at "
        + notUsing
        + " of "
        + views.size()
        + " routers";
  }

  /** The reason that most routers give; of equally frequent ones the first in the alphabet. */
  private static String mostFrequentReason(String server, Collection<EndpointView> views) {
    SortedMap<String, Integer> counts = new TreeMap<>();
    for (EndpointView view : views) {
      if (!view.usable().containsKey(server)) {
        counts.merge(view.unusable().getOrDefault(server, "not listed"), 1, Integer::sum);
      }
    }
    String most = counts.firstKey();
    for (Map.Entry<String, Integer> count : counts.entrySet()) {
      if (count.getValue() > counts.get(most)) {
        most = count.getKey();
      }
    }
    return most;
  }

  /**
   * Why no step may begin in a zone while another zone is out as a whole, or null where none is:
   * the other zones serve its traffic. In the zone that is out steps do no harm.
   */
  String zoneBlockingReason(String zone) {
    return zoneReasons.keySet().stream()
        .filter(other -> !other.equals(zone))
        .findFirst()
        .map(other -> "site " + other + " is out: " + zoneReasons.get(other))
        .orElse(null);
  }

  /**
   * Unavailable instances in a release, each with the reason. A cache server that was restarted
   * counts as unavailable until most routers know of the new start: until then what they report may
   * be of the process before.
   */
  SortedMap<String, String> duringRollout(RolloutSnapshot snapshot) {
    if (snapshot.plan().kind() == InstanceKind.ROUTER) {
      return reasons;
    }
    SortedMap<String, String> all = new TreeMap<>(reasons);
    for (RolloutStep step : snapshot.steps().values()) {
      long start = majorityStartNanos.getOrDefault(step.instanceId(), UNKNOWN_START);
      if (step.phase() == StepPhase.READY && start <= step.previousStartNanos()) {
        all.putIfAbsent(step.instanceId(), "not seen since it was restarted");
      }
    }
    return all;
  }
}
