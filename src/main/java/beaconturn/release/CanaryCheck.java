package beaconturn.release;

import java.util.Map;

/**
 * The canary check: whether an instance that runs what is released does no worse than its peers
 * over the same time. Earlier metrics are not compared with, as load and faults are those of the
 * time.
 */
final class CanaryCheck {
  /** While others are out by themselves, only a higher failed share is put down to the release. */
  private static final double DISTURBED_FAILED_SHARE = 0.5;

  private final CanaryBaselines baselines;

  CanaryCheck(CanaryBaselines baselines) {
    this.baselines = baselines;
  }

  /** The verdict on an instance that is ready. */
  CanaryVerdict verdict(
      RolloutSnapshot snapshot, RolloutStep step, Map<String, String> unplanned, long nowNanos) {
    CanaryBaselines.Baseline baseline = baselines.of(step);
    if (baseline == null) {
      return CanaryVerdict.pending("just up");
    }
    Long inServiceSince = baselines.inServiceSinceNanos(step);
    if (inServiceSince == null) {
      long readyForNanos = nowNanos - baseline.readyAtNanos();
      return notInService(snapshot.plan(), unplanned.get(step.instanceId()), readyForNanos);
    }
    boolean soaked = nowNanos - inServiceSince >= snapshot.plan().soakNanos();
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

  /** A router waits for its lease; a cache server has to be warm within its time. */
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
    boolean mostlyFails = comparison.changedFailedShare() > DISTURBED_FAILED_SHARE;
    if (mostlyFails && verdict.outcome() == CanaryVerdict.Outcome.REGRESSED) {
      return verdict;
    }
    return CanaryVerdict.pending("others are gone by themselves; " + verdict.explanation());
  }
}
