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
  private record MeasuredWindow(long startNanos, Map<String, InstanceSample> samples) {}

  /** Takes note of each snapshot. */
  void observe(RolloutSnapshot snapshot, long nowNanos) {
    long windowNanos = Math.max(MIN_WINDOW_NANOS, snapshot.plan().soakNanos());
    if (current == null || nowNanos - current.startNanos() >= windowNanos) {
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
  String blockingReason(
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
    if (required.responsesPerSecondPerInstance() > 0) {
      double responsesPerSecond = responsesPerSecond(snapshot, instanceIds, nowNanos);
      String blockingReason =
          capacity.blockingReason(responsesPerSecond, "answers a second", required.responsesPerSecondPerInstance());
      if (blockingReason != null) {
        return blockingReason;
      }
    }
    return capacity.gaugeBlockingReason();
  }

  private static boolean isChecked(RolloutPlan plan, ReleaseFleet.Capacity required) {
    return required.toleratedFailures() >= 0 && plan.kind() == InstanceKind.ROUTER;
  }

  private double responsesPerSecond(
      RolloutSnapshot snapshot, List<String> instanceIds, long nowNanos) {
    double responses = 0;
    for (String instanceId : instanceIds) {
      InstanceSample before = previous.samples().get(instanceId);
      if (before != null) {
        responses += snapshot.sample(instanceId).since(before).responses();
      }
    }
    return responses * NANOS_PER_SECOND / (nowNanos - previous.startNanos());
  }

  /**
   * Why zones could not carry their present load during a plan, with as many instances out as the
   * budget allows; null where they can, or where that is not to be checked.
   */
  static String blockingReason(RolloutPlan plan, RolloutSnapshot snapshot) {
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
        String blockingReason =
            new RolloutZoneCapacity(zone.getKey(), instanceIds, remaining, required, snapshot)
                .gaugeBlockingReason();
        if (blockingReason != null) {
          return blockingReason;
        }
      }
    }
    return null;
  }
}
