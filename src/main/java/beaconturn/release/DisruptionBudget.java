package beaconturn.release;

import java.util.List;
import java.util.Map;
import java.util.SortedMap;

/**
 * Decides whether one more instance may be taken out of service within the disruption budget of the
 * fleet.
 *
 * @param snapshot fleet definition and permits in use
 * @param kind kind of the instances
 */
record DisruptionBudget(RolloutSnapshot snapshot, InstanceKind kind) {
  /**
   * Returns why an instance may not be taken out of service, with the instances that use up the
   * budget; null if it may. An instance that is already unavailable needs no more of the budget.
   *
   * @param unplanned reasons by instance of the kind that is out of service without a permit
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
      return limitReached(sameZone, others, group.maxUnavailablePerZone() + " of " + zone);
    }
    if (others.size() >= group.maxUnavailable()) {
      return limitReached(List.copyOf(others.keySet()), others, group.maxUnavailable() + " in all");
    }
    return null;
  }

  /**
   * Returns why an instance may not be taken out of service; null if it may. Unlike {@link
   * #blockingReason(String, Map)}, this also requires that no other zone is out of service.
   */
  String blockingReason(String instanceId, Unavailability observed, Map<String, String> unplanned) {
    String budgetReason = blockingReason(instanceId, unplanned);
    if (budgetReason != null) {
      return budgetReason;
    }
    return observed.zoneBlockingReason(snapshot.fleet().group(kind).zoneOf(instanceId));
  }

  private static String limitReached(
      List<String> instanceIds, Map<String, String> reasons, String limit) {
    List<String> descriptions =
        instanceIds.stream().map(id -> id + " (" + reasons.get(id) + ")").toList();
    return "at most "
        + limit
        + " may be out of service; waiting for "
        + String.join(", ", descriptions);
  }
}
