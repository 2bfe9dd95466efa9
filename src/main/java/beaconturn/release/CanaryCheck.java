package beaconturn.release;

import java.util.Map;

/**
 * Checks whether an instance with the new variant does no worse than its peers over the same time.
 * Metrics from before the change are not used, because load and faults vary over time.
 */
final class CanaryCheck {
  /**
   * Failed share above which a regression is attributed to the release even while other instances
   * are out of service without a permit.
   */
  private static final double MIN_DISTURBED_FAILED_SHARE = 0.5;

  private final CanaryBaselines baselines;

  CanaryCheck(CanaryBaselines baselines) {
    this.baselines = baselines;
  }

  /** Returns the verdict on an instance that is ready. */
  CanaryVerdict verdict(
      RolloutSnapshot snapshot, RolloutStep step, Map<String, String> unplanned, long nowNanos) {
    CanaryBaselines.Baseline baseline = baselines.of(step);
    if (baseline == null) {
      return CanaryVerdict.pending("no metrics observed since it became ready");
    }
    Long inServiceSinceNanos = baselines.inServiceSinceNanos(step);
    if (inServiceSinceNanos == null) {
      long readyForNanos = nowNanos - baseline.readyAtNanos();
      return notInService(snapshot.plan(), unplanned.get(step.instanceId()), readyForNanos);
    }
    boolean soaked = nowNanos - inServiceSinceNanos >= snapshot.plan().soakNanos();
    if (isCacheWithoutMetrics(snapshot, step)) {
      String explanation = "in service at most routers";
      return soaked ? CanaryVerdict.passed(explanation) : CanaryVerdict.pending(explanation);
    }
    if (baselines.isDisturbed()) {
      return whileDisturbed(snapshot, step, baseline);
    }
    CanaryVerdict verdict =
        CanaryComparison.since(baseline.comparisonStart(), snapshot, step.instanceId())
            .verdict(soaked, ComparisonMode.CHECK);
    if (verdict.outcome() == CanaryVerdict.Outcome.PASSED && !soaked) {
      return CanaryVerdict.pending(verdict.explanation());
    }
    return verdict;
  }

  /**
   * Returns the verdict on an instance that is ready but not in service. A router may take any time
   * to acquire its lease; a cache server must be warm within the ready timeout.
   */
  private static CanaryVerdict notInService(RolloutPlan plan, String reason, long readyForNanos) {
    String explanation = "not seen back: " + reason;
    boolean overdue = plan.kind() == InstanceKind.CACHE && readyForNanos > plan.readyTimeoutNanos();
    return overdue ? CanaryVerdict.regressed(explanation) : CanaryVerdict.pending(explanation);
  }

  private static boolean isCacheWithoutMetrics(RolloutSnapshot snapshot, RolloutStep step) {
    return snapshot.plan().kind() == InstanceKind.CACHE
        && !snapshot.samples().containsKey(step.instanceId());
  }

  private static CanaryVerdict whileDisturbed(
      RolloutSnapshot snapshot, RolloutStep step, CanaryBaselines.Baseline baseline) {
    String instanceId = step.instanceId();
    CanaryComparison comparison = CanaryComparison.since(baseline.atReady(), snapshot, instanceId);
    CanaryVerdict verdict = comparison.verdict(false, ComparisonMode.CHECK);
    boolean mostlyFails = comparison.changedFailedShare() > MIN_DISTURBED_FAILED_SHARE;
    if (mostlyFails && verdict.outcome() == CanaryVerdict.Outcome.REGRESSED) {
      return verdict;
    }
    return CanaryVerdict.pending(
        "other instances are out of service without a permit; " + verdict.explanation());
  }
}
