package beaconturn.release;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Watches verified instances for regressions that appear only after the canary check, as long as
 * there are unchanged instances to compare with. Confined to the thread of its driver.
 */
final class VerifiedInstanceWatch {
  /** When each verified cache server was first observed ejected, by instance. */
  private final SortedMap<String, Long> ejectedSinceNanos = new TreeMap<>();

  /** Metrics of all instances at the start of the current comparison, by key of the step. */
  private final Map<String, Map<String, InstanceSample>> baselines = new HashMap<>();

  /**
   * Processes a snapshot; called for each one before a regression is requested.
   *
   * @param disturbed whether other instances were out of service recently; see {@link
   *     CanaryBaselines#isDisturbed}
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
   * Records which verified cache servers most routers have ejected. If an unchanged cache server is
   * ejected too, the release is not considered the cause.
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

  /** Returns why a verified instance does worse now; null if none does. */
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
