package beaconturn.release;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * Rolls a release back: instances in the reverse order of the plan, the configuration last. A step
 * that was not begun is withdrawn; an instance that runs the new variant goes back to the old.
 */
final class Rollback {
  private final ConfigRollout configRollout;

  Rollback(ConfigRollout configRollout) {
    this.configRollout = configRollout;
  }

  /** The next transaction, or null while the rollback waits. */
  RolloutTransaction nextTransaction(DriverContext turn) {
    List<String> order = new ArrayList<>(turn.plan().instanceIds());
    Collections.reverse(order);
    boolean allRolledBack = true;
    for (String instanceId : order) {
      RolloutStep step = turn.snapshot().steps().get(instanceId);
      if (step == null || step.phase() == StepPhase.ROLLED_BACK) {
        continue;
      }
      allRolledBack = false;
      RolloutTransaction transaction = rollBack(turn, step);
      if (transaction != null) {
        return transaction;
      }
    }
    return allRolledBack ? finish(turn) : null;
  }

  private RolloutTransaction finish(DriverContext turn) {
    if (turn.snapshot().configChange() != null) {
      RolloutTransaction transaction = configRollout.revert(turn);
      if (transaction != null || !turn.waitReason().isEmpty()) {
        return transaction;
      }
    }
    return turn.changeMode(
        "all parts run again what they ran before",
        RolloutMode.ROLLED_BACK,
        turn.snapshot().state().reason());
  }

  private static RolloutTransaction rollBack(DriverContext turn, RolloutStep step) {
    return switch (step.phase()) {
      case GRANTED -> withdraw(turn, step);
      case STARTED -> {
        turn.waitFor(step.instanceId() + " is acted on");
        yield null;
      }
      case READY, FAILED -> afterAction(turn, step);
      case VERIFIED, ROLLED_BACK -> afterCheck(turn, step);
    };
  }

  private static RolloutTransaction withdraw(DriverContext turn, RolloutStep step) {
    if (step.variant() == InstanceVariant.OLD) {
      turn.waitFor(step.instanceId() + " is to go back");
      return null;
    }
    return rolledBack(
        turn, step, "", step.instanceId() + " was not begun, its place is given back");
  }

  private static RolloutTransaction afterAction(DriverContext turn, RolloutStep step) {
    if (step.variant() == InstanceVariant.NEW) {
      return toOldVariant(turn, step);
    }
    if (step.phase() == StepPhase.FAILED) {
      turn.waitFor(step.instanceId() + " cannot be brought back: " + step.failureReason());
      return null;
    }
    String unavailable = turn.unplanned().get(step.instanceId());
    if (unavailable != null) {
      turn.waitFor(step.instanceId() + " is not seen back: " + unavailable);
      return null;
    }
    return rolledBack(
        turn, step, step.agentIncarnation(), step.instanceId() + " runs again what it ran before");
  }

  /** An instance that is not verified yet holds its permit still, and goes back under it. */
  private static RolloutTransaction toOldVariant(DriverContext turn, RolloutStep step) {
    RolloutStep granted =
        StepGrants.step(turn, step.instanceId(), step.permitNumber(), InstanceVariant.OLD);
    return turn.transaction(
        step.instanceId() + " goes back under permit " + step.permitNumber(),
        List.of(turn.keys().step(step.instanceId())),
        List.of(turn.transactions().put(granted)));
  }

  /** An instance that was verified has returned its permit, and needs another. */
  private static RolloutTransaction afterCheck(DriverContext turn, RolloutStep step) {
    String objection =
        new DisruptionBudget(turn.snapshot(), turn.plan().kind())
            .objection(step.instanceId(), turn.unplanned());
    if (objection == null) {
      return StepGrants.withNewPermit(turn, step.instanceId(), InstanceVariant.OLD);
    }
    turn.waitFor(step.instanceId() + ": " + objection);
    return null;
  }

  private static RolloutTransaction rolledBack(
      DriverContext turn, RolloutStep step, String agentIncarnation, String description) {
    return turn.transaction(
        description,
        List.of(turn.keys().step(step.instanceId())),
        List.of(
            turn.transactions().put(step.withPhase(StepPhase.ROLLED_BACK, agentIncarnation, "")),
            turn.transactions().deletePermit(step.permitNumber())));
  }
}
