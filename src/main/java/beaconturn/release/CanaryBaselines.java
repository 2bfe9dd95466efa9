package beaconturn.release;

import java.util.HashMap;
import java.util.Map;

/**
 * Metrics from which changed instances are compared with their peers, and since when each has been
 * in service. Confined to the thread of its driver.
 */
final class CanaryBaselines {
  private final Map<String, Baseline> baselines = new HashMap<>();
  private final Map<String, Long> inServiceSinceNanos = new HashMap<>();
  private long disturbedUntilNanos = Long.MIN_VALUE;
  private boolean disturbed;

  /**
   * What all instances had counted when one of them became ready.
   *
   * @param readyAtNanos when it was first seen ready
   * @param atReady metrics at that time
   * @param comparisonStart metrics when it was in service and no other instance was out by itself; the
   *     check compares from there
   */
  record Baseline(
      long readyAtNanos,
      Map<String, InstanceSample> atReady,
      Map<String, InstanceSample> comparisonStart) {}

  /** Identifies a step; an instance that goes out again has another permit. */
  static String keyOf(RolloutStep step) {
    return step.instanceId() + "#" + step.permitNumber();
  }

  /**
   * Whether an instance is out that the release has not taken out, or was within the last soak. One
   * that has just started then does worse than its peers, which have learned of it, whatever
   * variant it runs.
   */
  boolean isDisturbed() {
    return disturbed;
  }

  /** The baseline of a step, or null before it was seen ready. */
  Baseline of(RolloutStep step) {
    return baselines.get(keyOf(step));
  }

  /** Since when the instance has been in service, or null where it is not. */
  Long inServiceSinceNanos(RolloutStep step) {
    return inServiceSinceNanos.get(keyOf(step));
  }

  /** Takes note of each snapshot, before a verdict is asked for. */
  void observe(RolloutSnapshot snapshot, Map<String, String> unplanned, long nowNanos) {
    observeDisturbance(snapshot, unplanned, nowNanos);
    Map<String, InstanceSample> samples = Map.copyOf(snapshot.samples());
    for (RolloutStep step : snapshot.steps().values()) {
      boolean ready = step.isReadyWith(InstanceVariant.NEW);
      boolean out = unplanned.containsKey(step.instanceId());
      if (ready) {
        updateBaseline(step, samples, out, nowNanos);
      }
      if (out) {
        inServiceSinceNanos.remove(keyOf(step));
      } else if (ready) {
        inServiceSinceNanos.putIfAbsent(keyOf(step), nowNanos);
      }
    }
  }

  private void observeDisturbance(
      RolloutSnapshot snapshot, Map<String, String> unplanned, long nowNanos) {
    boolean othersOut =
        unplanned.keySet().stream().anyMatch(instanceId -> !holdsPermit(snapshot, instanceId));
    if (othersOut) {
      disturbedUntilNanos = nowNanos + snapshot.plan().soakNanos();
    }
    disturbed = othersOut || nowNanos < disturbedUntilNanos;
  }

  private static boolean holdsPermit(RolloutSnapshot snapshot, String instanceId) {
    return snapshot.permits().values().stream()
        .anyMatch(permit -> permit.instanceId().equals(instanceId));
  }

  private void updateBaseline(
      RolloutStep step, Map<String, InstanceSample> samples, boolean out, long nowNanos) {
    String key = keyOf(step);
    Baseline baseline =
        baselines.computeIfAbsent(key, k -> new Baseline(nowNanos, samples, samples));
    if (disturbed || out || isAnotherProcess(step.instanceId(), baseline, samples)) {
      baselines.put(key, new Baseline(baseline.readyAtNanos(), baseline.atReady(), samples));
    }
  }

  /**
   * Whether the instance runs another process than at its baseline: what that had counted before
   * its first report was read belongs to another time.
   */
  private static boolean isAnotherProcess(
      String instanceId, Baseline baseline, Map<String, InstanceSample> samples) {
    InstanceSample before = baseline.comparisonStart().get(instanceId);
    InstanceSample now = samples.get(instanceId);
    return before != null && now != null && !now.process().equals(before.process());
  }
}
