package beaconturn.release;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Watches instances that have passed their check for as long as there are unchanged ones to compare
 * with: what does harm may take minutes to show. Confined to the thread of its driver.
 */
final class VerifiedInstanceWatch {
  private final SortedMap<String, Long> ejectedSinceNanos = new TreeMap<>();

  /** Metrics of all instances when one was last compared, by step. */
  private final Map<String, Map<String, InstanceSample>> baselines = new HashMap<>();

  /**
   * Takes note of each snapshot, before a regression is asked for.
   *
   * @param disturbed whether instances are out that the release has not taken out
   */
  void observe(
      RolloutSnapshot snapshot, Map<String, String> unplanned, boolean disturbed, long nowNanos) {
    observeEjections(snapshot, unplanned, nowNanos);
    if (disturbed) {
      for (RolloutStep step : snapshot.steps().values()) {
        if (!step.isReadyWith(InstanceVariant.NEW)) {
          baselines.remove(CanaryBaselines.keyOf(step));
        }
      }
    }
  }

  /**
   * Notes which verified cache servers most routers have ejected. Where an unchanged one is ejected
   * too, the cause is not the release.
   */
  private void observeEjections(
      RolloutSnapshot snapshot, Map<String, String> unplanned, long nowNanos) {
    Set<String> ejected = new TreeSet<>();
    unplanned.forEach(
        (instanceId, reason) -> {
          if (reason.startsWith(Unavailability.EJECTED)) {
            ejected.add(instanceId);
          }
        });
    if (!snapshot.steps().keySet().containsAll(ejected)) {
      ejected.clear();
    }
    ejected.removeIf(instanceId -> snapshot.phase(instanceId) != StepPhase.VERIFIED);
    ejectedSinceNanos.keySet().retainAll(ejected);
    ejected.forEach(instanceId -> ejectedSinceNanos.putIfAbsent(instanceId, nowNanos));
  }

  /** Why an instance does worse by now though it has passed its check, or null where none does. */
  String regression(RolloutSnapshot snapshot, long nowNanos) {
    for (Map.Entry<String, Long> ejected : ejectedSinceNanos.entrySet()) {
      if (nowNanos - ejected.getValue() > snapshot.plan().readyTimeoutNanos()) {
        return ejected.getKey() + " was ejected after it had stood the check";
      }
    }
    Set<String> reporting = CanaryComparison.reportingInstances(snapshot);
    if (snapshot.steps().keySet().containsAll(reporting)) {
      return null;
    }
    for (RolloutStep step : snapshot.steps().values()) {
      if (step.phase() == StepPhase.VERIFIED && reporting.contains(step.instanceId())) {
        String regression = regression(snapshot, step);
        if (regression != null) {
          return regression;
        }
      }
    }
    return null;
  }

  private String regression(RolloutSnapshot snapshot, RolloutStep step) {
    String key = CanaryBaselines.keyOf(step);
    Map<String, InstanceSample> baseline =
        baselines.computeIfAbsent(key, k -> Map.copyOf(snapshot.samples()));
    CanaryVerdict verdict =
        CanaryComparison.since(baseline, snapshot, step.instanceId())
            .verdict(true, ComparisonMode.WATCH);
    return switch (verdict.outcome()) {
      case REGRESSED ->
          step.instanceId() + " does worse since it stood the check: " + verdict.explanation();
      case PASSED -> {
        baselines.put(key, Map.copyOf(snapshot.samples()));
        yield null;
      }
      case PENDING -> null;
    };
  }
}
