package beaconturn.zones;

import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;

/** The health of all zones at one time, from each zone's routers and from all together. */
final class ZoneHealthAssessment {
  /** What the routers of a zone (the first key) find of each zone (the second). */
  private final SortedMap<String, SortedMap<String, ZoneHealth>> views = new TreeMap<>();

  private final SortedMap<String, ZoneHealth> healthByZone = new TreeMap<>();
  private final SortedMap<String, String> descriptions = new TreeMap<>();

  /** An assessment of nothing: all is unknown. */
  ZoneHealthAssessment() {}

  /** An assessment by the routers that are heard and not broken. */
  ZoneHealthAssessment(ZoneTopology topology, RouterEvidencePool pool, long nowNanos) {
    for (String home : topology.zones()) {
      List<RouterEvidence> heard = pool.heardFrom(home, nowNanos);
      // Of a zone that is cut off nobody knows what it finds.
      if (!heard.isEmpty()) {
        views.put(home, viewsOf(topology, heard));
      }
    }
    topology.zones().forEach(this::assess);
  }

  private static SortedMap<String, ZoneHealth> viewsOf(
      ZoneTopology topology, List<RouterEvidence> heard) {
    SortedMap<String, ZoneHealth> found = new TreeMap<>();
    for (String zone : topology.zones()) {
      List<ZoneHealth> votes =
          heard.stream().map(router -> ZoneHealthRules.viewOf(router.recent(zone))).toList();
      found.put(zone, ZoneHealthRules.majority(votes));
    }
    return found;
  }

  private void assess(String zone) {
    List<ZoneHealth> all = new ArrayList<>();
    List<String> badFrom = new ArrayList<>();
    views.forEach(
        (home, found) -> {
          all.add(found.get(zone));
          if (found.get(zone) == ZoneHealth.BROKEN) {
            badFrom.add(home);
          }
        });
    boolean anyGood = all.contains(ZoneHealth.GOOD);
    String bad = "found bad from " + String.join(", ", badFrom);
    if (!all.isEmpty() && all.stream().allMatch(view -> view == ZoneHealth.NOT_LISTED)) {
      put(zone, ZoneHealth.NOT_LISTED, "nobody has it in the list");
    } else if (!badFrom.isEmpty() && !anyGood) {
      // Before lists are looked at: those of a zone that has gone change here and there by and by.
      put(zone, ZoneHealth.BROKEN, bad);
    } else if (all.contains(ZoneHealth.NOT_LISTED)) {
      put(zone, ZoneHealth.LATE_LIST, "some have it in the list and others do not");
    } else if (!badFrom.isEmpty()) {
      put(zone, ZoneHealth.LINK, bad + " alone");
    } else if (anyGood) {
      put(zone, ZoneHealth.GOOD, "serves");
    } else {
      put(zone, ZoneHealth.UNKNOWN, "too little is seen");
    }
  }

  private void put(String zone, ZoneHealth health, String description) {
    healthByZone.put(zone, health);
    descriptions.put(zone, description);
  }

  /** What all routers together say of a zone. */
  ZoneHealth healthOf(String zone) {
    return healthByZone.getOrDefault(zone, ZoneHealth.UNKNOWN);
  }

  /** What was found of a zone, in words. */
  String describe(String zone) {
    return descriptions.getOrDefault(zone, "nothing is known");
  }

  /** What the routers of one zone say of another, or of their own. */
  ZoneHealth viewFrom(String home, String zone) {
    return views.containsKey(home) ? views.get(home).get(zone) : ZoneHealth.UNKNOWN;
  }
}
