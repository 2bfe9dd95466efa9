package beaconturn.zones;

import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Health of all zones at one time: as seen by the routers of each zone, and by all routers
 * together.
 */
final class ZoneHealthAssessment {
  /** The view of a zone, by the home zone of the observing routers and by the observed zone. */
  private final SortedMap<String, SortedMap<String, ZoneHealth>> views = new TreeMap<>();

  private final SortedMap<String, ZoneHealth> healthByZone = new TreeMap<>();
  private final SortedMap<String, String> descriptions = new TreeMap<>();

  /** Creates an assessment in which the health of all zones is unknown. */
  ZoneHealthAssessment() {}

  /** Creates an assessment from the live routers that are not faulty. */
  ZoneHealthAssessment(ZoneTopology topology, RouterEvidencePool pool, long nowNanos) {
    for (String home : topology.zones()) {
      List<RouterEvidence> liveRouters = pool.liveRoutersOf(home, nowNanos);
      // A zone without live routers has no views.
      if (!liveRouters.isEmpty()) {
        views.put(home, viewsOf(topology, liveRouters));
      }
    }
    topology.zones().forEach(this::assess);
  }

  private static SortedMap<String, ZoneHealth> viewsOf(
      ZoneTopology topology, List<RouterEvidence> liveRouters) {
    SortedMap<String, ZoneHealth> viewsByZone = new TreeMap<>();
    for (String zone : topology.zones()) {
      List<ZoneHealth> votes =
          liveRouters.stream()
              .map(router -> ZoneHealthRules.viewOf(router.recentObservations(zone)))
              .toList();
      viewsByZone.put(zone, ZoneHealthRules.majority(votes));
    }
    return viewsByZone;
  }

  private void assess(String zone) {
    List<ZoneHealth> allViews = new ArrayList<>();
    List<String> unhealthyFrom = new ArrayList<>();
    views.forEach(
        (home, viewsByZone) -> {
          allViews.add(viewsByZone.get(zone));
          if (viewsByZone.get(zone) == ZoneHealth.BROKEN) {
            unhealthyFrom.add(home);
          }
        });
    boolean anyHealthy = allViews.contains(ZoneHealth.GOOD);
    String unhealthyDescription = "found bad from " + String.join(", ", unhealthyFrom);
    if (!allViews.isEmpty() && allViews.stream().allMatch(view -> view == ZoneHealth.NOT_LISTED)) {
      put(zone, ZoneHealth.NOT_LISTED, "nobody has it in the list");
    } else if (!unhealthyFrom.isEmpty() && !anyHealthy) {
      // Checked before the endpoint lists, as the lists of routers change one by one after a zone
      // loss.
      put(zone, ZoneHealth.BROKEN, unhealthyDescription);
    } else if (allViews.contains(ZoneHealth.NOT_LISTED)) {
      put(zone, ZoneHealth.LATE_LIST, "some have it in the list and others do not");
    } else if (!unhealthyFrom.isEmpty()) {
      put(zone, ZoneHealth.LINK, unhealthyDescription + " alone");
    } else if (anyHealthy) {
      put(zone, ZoneHealth.GOOD, "serves");
    } else {
      put(zone, ZoneHealth.UNKNOWN, "too little is seen");
    }
  }

  private void put(String zone, ZoneHealth health, String description) {
    healthByZone.put(zone, health);
    descriptions.put(zone, description);
  }

  /** Returns the health of a zone as seen by the routers of all zones. */
  ZoneHealth healthOf(String zone) {
    return healthByZone.getOrDefault(zone, ZoneHealth.UNKNOWN);
  }

  /** Describes the health of a zone for evidence logs and plan reasons. */
  String describe(String zone) {
    return descriptions.getOrDefault(zone, "nothing is known");
  }

  /** Returns how the routers of the home zone see the given zone. */
  ZoneHealth viewFrom(String home, String zone) {
    return views.containsKey(home) ? views.get(home).get(zone) : ZoneHealth.UNKNOWN;
  }
}
