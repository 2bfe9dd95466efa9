package beaconturn.release;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Measures the load of zones and decides whether a zone can carry it with instances out of service.
 * Responses are counted over one to two windows; gauges are the values last reported. Confined to
 * the thread of its driver.
 */
final class InstanceLoad {
  private static final double NANOS_PER_SECOND = 1e9;
  private static final long MIN_WINDOW_NANOS = 1_000_000_000;
  private MeasuredWindow previousWindow;
  private MeasuredWindow currentWindow;

  /** Metrics of all instances at the start of a window. */
  private record MeasuredWindow(long startNanos, Map<String, InstanceSample> samples) {}

  /** Processes a snapshot; starts a new window if the current one is over. */
  void observe(RolloutSnapshot snapshot, long nowNanos) {
    long windowNanos = Math.max(MIN_WINDOW_NANOS, snapshot.plan().soakNanos());
    if (currentWindow == null || nowNanos - currentWindow.startNanos() >= windowNanos) {
      previousWindow = currentWindow;
      currentWindow = new MeasuredWindow(nowNanos, Map.copyOf(snapshot.samples()));
    }
  }

  /**
   * Returns why the zone of an instance could not carry its load without the instance; null if it
   * could, or if the load is not checked.
   *
   * @param unavailable instances that are already out of service
   */
  String blockingReason(
      RolloutSnapshot snapshot, String instanceId, Set<String> unavailable, long nowNanos) {
    ReleaseFleet.Group group = snapshot.fleet().group(snapshot.plan().kind());
    ReleaseFleet.Capacity required = group.capacity();
    if (!isChecked(snapshot.plan(), required)) {
      return null;
    }
    if (previousWindow == null) {
      return "the load of its site is being measured";
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
          capacity.blockingReason(
              responsesPerSecond, "responses per second", required.responsesPerSecondPerInstance());
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
      InstanceSample earlier = previousWindow.samples().get(instanceId);
      if (earlier != null) {
        responses += snapshot.sample(instanceId).since(earlier).responses();
      }
    }
    return responses * NANOS_PER_SECOND / (nowNanos - previousWindow.startNanos());
  }

  /**
   * Returns why a zone could not carry its current load during a plan, with as many instances out
   * of service as the budget allows; null if all zones could, or if the load is not checked.
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
      int unavailable =
          Math.min(budget, (int) instanceIds.stream().filter(planned::contains).count());
      if (unavailable > 0) {
        int remaining = instanceIds.size() - unavailable - required.toleratedFailures();
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
