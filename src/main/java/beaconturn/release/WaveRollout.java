package beaconturn.release;

import java.util.List;

/**
 * Rolls a release forward: checks changed instances, and grants the steps of a wave after all
 * instances of the previous wave are verified. Confined to the thread of its driver.
 */
final class WaveRollout {
  private final CanaryCheck canaryCheck;
  private final VerifiedInstanceWatch verifiedWatch;
  private final InstanceLoad load;

  WaveRollout(CanaryCheck canaryCheck, VerifiedInstanceWatch verifiedWatch, InstanceLoad load) {
    this.canaryCheck = canaryCheck;
    this.verifiedWatch = verifiedWatch;
    this.load = load;
  }

  /** Returns the next transaction; null while the release waits. */
  RolloutTransaction nextTransaction(DriverContext context) {
    for (RolloutStep step : context.snapshot().steps().values()) {
      RolloutTransaction transaction = afterStep(context, step);
      if (transaction != null) {
        return transaction;
      }
    }
    String regression = verifiedWatch.regression(context.snapshot(), context.nowNanos());
    if (regression != null) {
      return context.rollBack(regression);
    }
    for (List<String> wave : context.plan().waves()) {
      if (!wave.stream().allMatch(id -> isDone(context.snapshot().phase(id)))) {
        return nextStep(context, wave);
      }
    }
    return context.changeMode(
        "all parts run what is released", RolloutMode.COMPLETED, "all parts have stood the check");
  }

  private static boolean isDone(StepPhase phase) {
    return phase == StepPhase.VERIFIED || phase == StepPhase.ROLLED_BACK;
  }

  /** Returns the transaction that follows an existing step; null if there is none. */
  private RolloutTransaction afterStep(DriverContext context, RolloutStep step) {
    return switch (step.phase()) {
      case FAILED ->
          context.rollBack(step.instanceId() + " did not get ready: " + step.failureReason());
      case GRANTED, STARTED -> {
        context.waitFor(step.instanceId() + " has a step in progress");
        yield null;
      }
      case READY -> afterReady(context, step);
      case VERIFIED, ROLLED_BACK -> null;
    };
  }

  private RolloutTransaction afterReady(DriverContext context, RolloutStep step) {
    if (step.variant() == InstanceVariant.OLD) {
      return context.rollBack(
          step.instanceId() + " was brought back by its agent: " + step.failureReason());
    }
    CanaryVerdict verdict =
        canaryCheck.verdict(context.snapshot(), step, context.unplanned(), context.nowNanos());
    return switch (verdict.outcome()) {
      case REGRESSED ->
          context.rollBack(step.instanceId() + " does worse: " + verdict.explanation());
      case PASSED -> markVerified(context, step, verdict);
      case PENDING -> {
        context.waitFor(step.instanceId() + " is watched: " + verdict.explanation());
        yield null;
      }
    };
  }

  private static RolloutTransaction markVerified(
      DriverContext context, RolloutStep step, CanaryVerdict verdict) {
    RolloutStep verified = step.withPhase(StepPhase.VERIFIED, step.agentIncarnation(), "");
    return context.transaction(
        step.instanceId() + " has stood the check: " + verdict.explanation(),
        List.of(context.keys().step(step.instanceId())),
        List.of(
            context.transactions().put(verified),
            context.transactions().deletePermit(step.permitNumber())));
  }

  /** Grants the step of the first instance of a wave that may be taken out of service. */
  private RolloutTransaction nextStep(DriverContext context, List<String> wave) {
    for (String instanceId : wave) {
      if (context.snapshot().steps().containsKey(instanceId)) {
        continue;
      }
      String blockingReason = blockingReason(context, instanceId);
      if (blockingReason == null) {
        return StepGrants.withNewPermit(context, instanceId, InstanceVariant.NEW);
      }
      context.waitFor(instanceId + ": " + blockingReason);
    }
    return null;
  }

  private String blockingReason(DriverContext context, String instanceId) {
    RolloutSnapshot snapshot = context.snapshot();
    InstanceKind kind = context.plan().kind();
    String budgetReason =
        new DisruptionBudget(snapshot, kind)
            .blockingReason(instanceId, context.observed(), context.unplanned());
    if (budgetReason != null) {
      return budgetReason;
    }
    return load.blockingReason(
        snapshot,
        instanceId,
        snapshot.unavailable(kind, context.unplanned()).keySet(),
        context.nowNanos());
  }
}
