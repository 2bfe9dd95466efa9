package beaconturn.release;

import java.util.List;

/**
 * Rolls a release forward: checks the instances that have been changed, and begins the next steps
 * of a wave once all of the wave before are verified.
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

  /** The next transaction, or null while the release waits. */
  RolloutTransaction nextTransaction(DriverContext turn) {
    for (RolloutStep step : turn.snapshot().steps().values()) {
      RolloutTransaction transaction = afterStep(turn, step);
      if (transaction != null) {
        return transaction;
      }
    }
    String regression = verifiedWatch.regression(turn.snapshot(), turn.nowNanos());
    if (regression != null) {
      return turn.rollBack(regression);
    }
    for (List<String> wave : turn.plan().waves()) {
      if (!wave.stream().allMatch(id -> isDone(turn.snapshot().phase(id)))) {
        return nextStep(turn, wave);
      }
    }
    return turn.changeMode(
        "all parts run what is released", RolloutMode.COMPLETED, "all parts have stood the check");
  }

  private static boolean isDone(StepPhase phase) {
    return phase == StepPhase.VERIFIED || phase == StepPhase.ROLLED_BACK;
  }

  /** What follows from a step that was begun, or null. */
  private RolloutTransaction afterStep(DriverContext turn, RolloutStep step) {
    return switch (step.phase()) {
      case FAILED ->
          turn.rollBack(step.instanceId() + " did not get ready: " + step.failureReason());
      case GRANTED, STARTED -> {
        turn.waitFor(step.instanceId() + " is acted on");
        yield null;
      }
      case READY -> afterReady(turn, step);
      case VERIFIED, ROLLED_BACK -> null;
    };
  }

  private RolloutTransaction afterReady(DriverContext turn, RolloutStep step) {
    if (step.variant() == InstanceVariant.OLD) {
      return turn.rollBack(
          step.instanceId() + " was brought back by its agent: " + step.failureReason());
    }
    CanaryVerdict verdict =
        canaryCheck.verdict(turn.snapshot(), step, turn.unplanned(), turn.nowNanos());
    return switch (verdict.outcome()) {
      case REGRESSED -> turn.rollBack(step.instanceId() + " does worse: " + verdict.explanation());
      case PASSED -> verified(turn, step, verdict);
      case PENDING -> {
        turn.waitFor(step.instanceId() + " is watched: " + verdict.explanation());
        yield null;
      }
    };
  }

  private static RolloutTransaction verified(
      DriverContext turn, RolloutStep step, CanaryVerdict verdict) {
    RolloutStep verified = step.withPhase(StepPhase.VERIFIED, step.agentIncarnation(), "");
    return turn.transaction(
        step.instanceId() + " has stood the check: " + verdict.explanation(),
        List.of(turn.keys().step(step.instanceId())),
        List.of(
            turn.transactions().put(verified),
            turn.transactions().deletePermit(step.permitNumber())));
  }

  /** Begins the step of the first instance of a wave that may go out. */
  private RolloutTransaction nextStep(DriverContext turn, List<String> wave) {
    for (String instanceId : wave) {
      if (turn.snapshot().steps().containsKey(instanceId)) {
        continue;
      }
      String objection = objection(turn, instanceId);
      if (objection == null) {
        return StepGrants.withNewPermit(turn, instanceId, InstanceVariant.NEW);
      }
      turn.waitFor(instanceId + ": " + objection);
    }
    return null;
  }

  private String objection(DriverContext turn, String instanceId) {
    RolloutSnapshot snapshot = turn.snapshot();
    InstanceKind kind = turn.plan().kind();
    String budget =
        new DisruptionBudget(snapshot, kind)
            .objection(instanceId, turn.observed(), turn.unplanned());
    if (budget != null) {
      return budget;
    }
    return load.objection(
        snapshot,
        instanceId,
        snapshot.unavailable(kind, turn.unplanned()).keySet(),
        turn.nowNanos());
  }
}
