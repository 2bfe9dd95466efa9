package beaconturn.release;

import java.util.List;
import java.util.Map;
import java.util.SortedMap;

/**
 * The disruption budget of a fleet as of one snapshot: whether one more instance may go out of
 * service.
 */
record DisruptionBudget(RolloutSnapshot snapshot, InstanceKind kind) {
  /**
   * Why an instance may not go out, which is whom it waits for, or null where it may. One that is
   * unavailable already uses up no more of the budget.
   *
   * @param unplanned instances of the kind that are out without a permit, with reasons
   */
  String blockingReason(String instanceId, Map<String, String> unplanned) {
    ReleaseFleet.Group group = snapshot.fleet().group(kind);
    String zone = group.zoneOf(instanceId);
    if (zone == null) {
      return "there is no " + kind.serializedName() + " '" + instanceId + "' in the fleet";
    }
    SortedMap<String, String> others = snapshot.unavailable(kind, unplanned);
    others.remove(instanceId);
    List<String> sameZone =
        others.keySet().stream().filter(other -> zone.equals(group.zoneOf(other))).toList();
    if (sameZone.size() >= group.maxUnavailablePerZone()) {
      return waitsFor(sameZone, others, group.maxUnavailablePerZone() + " of " + zone);
    }
    if (others.size() >= group.maxUnavailable()) {
      return waitsFor(List.copyOf(others.keySet()), others, group.maxUnavailable() + " in all");
    }
    return null;
  }

  /** The same; also why no step may begin in its zone while another zone is out as a whole. */
  String blockingReason(String instanceId, Unavailability observed, Map<String, String> unplanned) {
    String full = blockingReason(instanceId, unplanned);
    if (full != null) {
      return full;
    }
    return observed.zoneBlockingReason(snapshot.fleet().group(kind).zoneOf(instanceId));
  }

  private static String waitsFor(
      List<String> instanceIds, Map<String, String> reasons, String limit) {
    List<String> words = instanceIds.stream().map(id -> id + " (" + reasons.get(id) + ")").toList();
    return "at most " + limit + " may be out, it waits for " + String.join(", ", words);
  }
}
