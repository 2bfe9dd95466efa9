package beaconturn.release;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Measures the load of zones, and tells whether it can be carried while instances are out. Answers
 * are counted over one to two times the soak; gauges are as reported last. Confined to the thread
 * of its driver.
 */
final class InstanceLoad {
  private static final double NANOS_PER_SECOND = 1e9;
  private static final long MIN_WINDOW_NANOS = 1_000_000_000;
  private MeasuredWindow previous;
  private MeasuredWindow current;

  /** Metrics of all instances at the begin of a window. */
  private record MeasuredWindow(long beginNanos, Map<String, InstanceSample> samples) {}

  /** Takes note of each snapshot. */
  void observe(RolloutSnapshot snapshot, long nowNanos) {
    long windowNanos = Math.max(MIN_WINDOW_NANOS, snapshot.plan().soakNanos());
    if (current == null || nowNanos - current.beginNanos() >= windowNanos) {
      previous = current;
      current = new MeasuredWindow(nowNanos, Map.copyOf(snapshot.samples()));
    }
  }

  /**
   * Why the zone of an instance could not carry its load without it, or null where it can, or where
   * that is not to be checked.
   *
   * @param unavailable instances that are out already
   */
  String objection(
      RolloutSnapshot snapshot, String instanceId, Set<String> unavailable, long nowNanos) {
    ReleaseFleet.Group group = snapshot.fleet().group(snapshot.plan().kind());
    ReleaseFleet.Capacity required = group.capacity();
    if (!isChecked(snapshot.plan(), required)) {
      return null;
    }
    if (previous == null) {
      return "what its site carries is measured";
    }
    String zone = group.zoneOf(instanceId);
    List<String> instanceIds = group.instancesByZone().get(zone);
    long inService =
        instanceIds.stream()
            .filter(id -> !unavailable.contains(id) && !id.equals(instanceId))
            .count();
    long remaining = inService - required.toleratedFailures();
    RolloutZoneCapacity capacity =
        new RolloutZoneCapacity(zone, instanceIds, remaining, required, snapshot);
    if (required.answersPerSecondEach() > 0) {
      double answersPerSecond = answersPerSecond(snapshot, instanceIds, nowNanos);
      String objection =
          capacity.objection(answersPerSecond, "answers a second", required.answersPerSecondEach());
      if (objection != null) {
        return objection;
      }
    }
    return capacity.gaugesObjection();
  }

  private static boolean isChecked(RolloutPlan plan, ReleaseFleet.Capacity required) {
    return required.toleratedFailures() >= 0 && plan.kind() == InstanceKind.ROUTER;
  }

  private double answersPerSecond(
      RolloutSnapshot snapshot, List<String> instanceIds, long nowNanos) {
    double answers = 0;
    for (String instanceId : instanceIds) {
      InstanceSample before = previous.samples().get(instanceId);
      if (before != null) {
        answers += snapshot.sample(instanceId).since(before).answers();
      }
    }
    return answers * NANOS_PER_SECOND / (nowNanos - previous.beginNanos());
  }

  /**
   * Why zones could not carry their present load during a plan, with as many instances out as the
   * budget allows; null where they can, or where that is not to be checked.
   */
  static String objection(RolloutPlan plan, RolloutSnapshot snapshot) {
    ReleaseFleet.Group group = snapshot.fleet().group(plan.kind());
    ReleaseFleet.Capacity required = group.capacity();
    if (!isChecked(plan, required)) {
      return null;
    }
    Set<String> planned = new HashSet<>(plan.instanceIds());
    int budget = Math.min(group.maxUnavailable(), group.maxUnavailablePerZone());
    for (Map.Entry<String, List<String>> zone : group.instancesByZone().entrySet()) {
      List<String> instanceIds = zone.getValue();
      int out = Math.min(budget, (int) instanceIds.stream().filter(planned::contains).count());
      if (out > 0) {
        int remaining = instanceIds.size() - out - required.toleratedFailures();
        String objection =
            new RolloutZoneCapacity(zone.getKey(), instanceIds, remaining, required, snapshot)
                .gaugesObjection();
        if (objection != null) {
          return objection;
        }
      }
    }
    return null;
  }
}
