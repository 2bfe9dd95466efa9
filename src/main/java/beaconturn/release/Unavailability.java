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
 * Instances that are observed to be out of service without a permit. An instance that no router
 * reports as usable counts as unavailable; otherwise missing reports could let the last healthy
 * instance be taken out of service.
 *
 * @param reasons reasons by unavailable instance
 * @param latestStartNanos latest start by cache server that any router reports, by the clock of
 *     discovery
 * @param majorityStartNanos latest start by cache server in service that more than half of the
 *     routers report
 * @param zoneReasons reasons by zone whose traffic is served elsewhere
 */
public record Unavailability(
    SortedMap<String, String> reasons,
    SortedMap<String, Long> latestStartNanos,
    SortedMap<String, Long> majorityStartNanos,
    SortedMap<String, String> zoneReasons) {
  /** Prefix of the reason for a cache server that routers have ejected. */
  static final String EJECTED = "ejected";

  private static final long UNKNOWN_START_NANOS = -1;

  /** Makes immutable copies of the maps. */
  public Unavailability {
    reasons = copyOf(reasons);
    latestStartNanos = copyOf(latestStartNanos);
    majorityStartNanos = copyOf(majorityStartNanos);
    zoneReasons = copyOf(zoneReasons);
  }

  private static <V> SortedMap<String, V> copyOf(Map<String, V> map) {
    return Collections.unmodifiableSortedMap(new TreeMap<>(map));
  }

  /** Returns unavailable instances with reasons, without known starts. */
  static Unavailability of(Map<String, String> reasons) {
    return new Unavailability(
        new TreeMap<>(reasons), new TreeMap<>(), new TreeMap<>(), new TreeMap<>());
  }

  /** Returns this observation with reasons by zone whose traffic is served elsewhere. */
  public Unavailability withZonesOutOfService(Map<String, String> zones) {
    return new Unavailability(reasons, latestStartNanos, majorityStartNanos, new TreeMap<>(zones));
  }

  /**
   * Returns the routers of the fleet that hold no lease, because they are stopped, hang or cannot
   * reach the store.
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
   * Returns the cache servers that the configuration version excludes or that at most half of the
   * reporting routers use: cache servers that are draining, not listed, ejected or warming up.
   *
   * @param excluded reasons by cache server that the version in force excludes
   * @param views each reporting router's view of the cache servers
   */
  public static Unavailability ofCaches(
      ReleaseFleet.Group group, Map<String, String> excluded, Collection<EndpointView> views) {
    SortedMap<String, String> reasons = new TreeMap<>();
    SortedMap<String, Long> latestStartNanos = new TreeMap<>();
    SortedMap<String, Long> majorityStartNanos = new TreeMap<>();
    for (String server : group.instanceIds()) {
      List<Long> startsNanos = startsNanosDescending(server, views);
      if (!startsNanos.isEmpty()) {
        latestStartNanos.put(server, startsNanos.get(0));
      }
      boolean inService = 2 * startsNanos.size() > views.size();
      if (inService) {
        majorityStartNanos.put(server, startsNanos.get(views.size() / 2));
      }
      if (excluded.containsKey(server)) {
        reasons.put(server, excluded.get(server));
      } else if (!inService) {
        reasons.put(server, outOfServiceReason(server, views, views.size() - startsNanos.size()));
      }
    }
    return new Unavailability(reasons, latestStartNanos, majorityStartNanos, new TreeMap<>());
  }

  /** Returns the starts of a cache server that the routers using it report, the latest first. */
  private static List<Long> startsNanosDescending(String server, Collection<EndpointView> views) {
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

  /** Returns the reason that most routers report; on a tie, the alphabetically first. */
  private static String mostFrequentReason(String server, Collection<EndpointView> views) {
    SortedMap<String, Integer> counts = new TreeMap<>();
    for (EndpointView view : views) {
      if (!view.usable().containsKey(server)) {
        counts.merge(view.unusable().getOrDefault(server, "not listed"), 1, Integer::sum);
      }
    }
    String mostFrequent = counts.firstKey();
    for (Map.Entry<String, Integer> count : counts.entrySet()) {
      if (count.getValue() > counts.get(mostFrequent)) {
        mostFrequent = count.getKey();
      }
    }
    return mostFrequent;
  }

  /**
   * Returns why no step may start in a zone because the zone serves the traffic of another zone;
   * null if no other zone is out of service. Steps in the zone that is out of service are allowed.
   */
  String zoneBlockingReason(String zone) {
    return zoneReasons.keySet().stream()
        .filter(other -> !other.equals(zone))
        .findFirst()
        .map(other -> "site " + other + " is out: " + zoneReasons.get(other))
        .orElse(null);
  }

  /**
   * Returns reasons by unavailable instance during a release. A restarted cache server counts as
   * unavailable until most routers report the new start, because earlier reports may refer to the
   * previous process.
   */
  SortedMap<String, String> duringRollout(RolloutSnapshot snapshot) {
    if (snapshot.plan().kind() == InstanceKind.ROUTER) {
      return reasons;
    }
    SortedMap<String, String> allReasons = new TreeMap<>(reasons);
    for (RolloutStep step : snapshot.steps().values()) {
      long startNanos = majorityStartNanos.getOrDefault(step.instanceId(), UNKNOWN_START_NANOS);
      if (step.phase() == StepPhase.READY && startNanos <= step.previousStartNanos()) {
        allReasons.putIfAbsent(step.instanceId(), "not seen since it was restarted");
      }
    }
    return allReasons;
  }
}
