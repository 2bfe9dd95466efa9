package beaconturn.release;

import java.util.HashMap;
import java.util.Map;

/**
 * Tracks the metrics that the canary check of each changed instance starts from, and since when the
 * instance has been in service. Confined to the thread of its driver.
 */
final class CanaryBaselines {
  private final Map<String, Baseline> baselines = new HashMap<>();
  private final Map<String, Long> inServiceSinceNanos = new HashMap<>();
  private long disturbedUntilNanos = Long.MIN_VALUE;
  private boolean disturbed;

  /**
   * Metrics of all instances at the start of the check of one instance.
   *
   * @param readyAtNanos when the instance was first observed ready
   * @param atReady metrics at that time
   * @param comparisonStart metrics that the check compares from; updated while the instance is out
   *     of service, while the comparison is disturbed, and when the process of the instance changes
   */
  record Baseline(
      long readyAtNanos,
      Map<String, InstanceSample> atReady,
      Map<String, InstanceSample> comparisonStart) {}

  /** Returns the key of a step, which differs each time the instance is taken out of service. */
  static String keyOf(RolloutStep step) {
    return step.instanceId() + "#" + step.permitNumber();
  }

  /**
   * Returns whether an instance without a permit is, or during the last soak was, out of service. A
   * newly started instance then does worse than its peers in any variant, because the peers have
   * adapted to the outage already.
   */
  boolean isDisturbed() {
    return disturbed;
  }

  /** Returns the baseline of a step; null before the instance is observed ready. */
  Baseline of(RolloutStep step) {
    return baselines.get(keyOf(step));
  }

  /** Returns since when the instance has been in service; null if it is not. */
  Long inServiceSinceNanos(RolloutStep step) {
    return inServiceSinceNanos.get(keyOf(step));
  }

  /** Processes a snapshot; called for each one before a verdict is requested. */
  void observe(RolloutSnapshot snapshot, Map<String, String> unplanned, long nowNanos) {
    observeDisturbance(snapshot, unplanned, nowNanos);
    Map<String, InstanceSample> samples = Map.copyOf(snapshot.samples());
    for (RolloutStep step : snapshot.steps().values()) {
      boolean ready = step.isReadyWith(InstanceVariant.NEW);
      boolean outOfService = unplanned.containsKey(step.instanceId());
      if (ready) {
        updateBaseline(step, samples, outOfService, nowNanos);
      }
      if (outOfService) {
        inServiceSinceNanos.remove(keyOf(step));
      } else if (ready) {
        inServiceSinceNanos.putIfAbsent(keyOf(step), nowNanos);
      }
    }
  }

  private void observeDisturbance(
      RolloutSnapshot snapshot, Map<String, String> unplanned, long nowNanos) {
    boolean othersOutOfService =
        unplanned.keySet().stream().anyMatch(instanceId -> !holdsPermit(snapshot, instanceId));
    if (othersOutOfService) {
      disturbedUntilNanos = nowNanos + snapshot.plan().soakNanos();
    }
    disturbed = othersOutOfService || nowNanos < disturbedUntilNanos;
  }

  private static boolean holdsPermit(RolloutSnapshot snapshot, String instanceId) {
    return snapshot.permits().values().stream()
        .anyMatch(permit -> permit.instanceId().equals(instanceId));
  }

  private void updateBaseline(
      RolloutStep step, Map<String, InstanceSample> samples, boolean outOfService, long nowNanos) {
    String key = keyOf(step);
    Baseline baseline =
        baselines.computeIfAbsent(key, k -> new Baseline(nowNanos, samples, samples));
    if (disturbed || outOfService || isAnotherProcess(step.instanceId(), baseline, samples)) {
      baselines.put(key, new Baseline(baseline.readyAtNanos(), baseline.atReady(), samples));
    }
  }

  /**
   * Returns whether the instance runs another process than at its baseline. What the new process
   * counted before its first report is excluded from the comparison.
   */
  private static boolean isAnotherProcess(
      String instanceId, Baseline baseline, Map<String, InstanceSample> samples) {
    InstanceSample before = baseline.comparisonStart().get(instanceId);
    InstanceSample now = samples.get(instanceId);
    return before != null && now != null && !now.process().equals(before.process());
  }
}
