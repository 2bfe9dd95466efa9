package beaconturn.release;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * Rolls a release back: instances in the reverse order of the plan, then the configuration. A step
 * that was not started is withdrawn; an instance that runs the new variant is returned to the old.
 */
final class Rollback {
  private final ConfigRollout configRollout;

  Rollback(ConfigRollout configRollout) {
    this.configRollout = configRollout;
  }

  /** Returns the next transaction; null while the rollback waits. */
  RolloutTransaction nextTransaction(DriverContext context) {
    List<String> order = new ArrayList<>(context.plan().instanceIds());
    Collections.reverse(order);
    boolean allRolledBack = true;
    for (String instanceId : order) {
      RolloutStep step = context.snapshot().steps().get(instanceId);
      if (step == null || step.phase() == StepPhase.ROLLED_BACK) {
        continue;
      }
      allRolledBack = false;
      RolloutTransaction transaction = rollBack(context, step);
      if (transaction != null) {
        return transaction;
      }
    }
    return allRolledBack ? finish(context) : null;
  }

  private RolloutTransaction finish(DriverContext context) {
    if (context.snapshot().configChange() != null) {
      RolloutTransaction transaction = configRollout.revert(context);
      if (transaction != null || !context.waitReason().isEmpty()) {
        return transaction;
      }
    }
    return context.changeMode(
        "all parts run again what they ran before",
        RolloutMode.ROLLED_BACK,
        context.snapshot().state().reason());
  }

  private static RolloutTransaction rollBack(DriverContext context, RolloutStep step) {
    return switch (step.phase()) {
      case GRANTED -> withdraw(context, step);
      case STARTED -> {
        context.waitFor(step.instanceId() + " has a step in progress");
        yield null;
      }
      case READY, FAILED -> afterAction(context, step);
      case VERIFIED, ROLLED_BACK -> afterCheck(context, step);
    };
  }

  private static RolloutTransaction withdraw(DriverContext context, RolloutStep step) {
    if (step.variant() == InstanceVariant.OLD) {
      context.waitFor(step.instanceId() + " waits for its agent to roll it back");
      return null;
    }
    return markRolledBack(
        context, step, "", step.instanceId() + " was not begun, its place is given back");
  }

  private static RolloutTransaction afterAction(DriverContext context, RolloutStep step) {
    if (step.variant() == InstanceVariant.NEW) {
      return returnToOldVariant(context, step);
    }
    if (step.phase() == StepPhase.FAILED) {
      context.waitFor(step.instanceId() + " could not be rolled back: " + step.failureReason());
      return null;
    }
    String unavailable = context.unplanned().get(step.instanceId());
    if (unavailable != null) {
      context.waitFor(step.instanceId() + " is not back in service: " + unavailable);
      return null;
    }
    return markRolledBack(
        context,
        step,
        step.agentIncarnation(),
        step.instanceId() + " runs again what it ran before");
  }

  /** Grants a step to the old variant under the permit that an unverified instance still holds. */
  private static RolloutTransaction returnToOldVariant(DriverContext context, RolloutStep step) {
    RolloutStep granted =
        StepGrants.grantedStep(
            context, step.instanceId(), step.permitNumber(), InstanceVariant.OLD);
    return context.transaction(
        step.instanceId() + " goes back under permit " + step.permitNumber(),
        List.of(context.keys().step(step.instanceId())),
        List.of(context.transactions().put(granted)));
  }

  /** Grants a step to the old variant under a new permit: a verified instance holds none. */
  private static RolloutTransaction afterCheck(DriverContext context, RolloutStep step) {
    String blockingReason =
        new DisruptionBudget(context.snapshot(), context.plan().kind())
            .blockingReason(step.instanceId(), context.unplanned());
    if (blockingReason == null) {
      return StepGrants.withNewPermit(context, step.instanceId(), InstanceVariant.OLD);
    }
    context.waitFor(step.instanceId() + ": " + blockingReason);
    return null;
  }

  private static RolloutTransaction markRolledBack(
      DriverContext context, RolloutStep step, String agentIncarnation, String description) {
    return context.transaction(
        description,
        List.of(context.keys().step(step.instanceId())),
        List.of(
            context.transactions().put(step.withPhase(StepPhase.ROLLED_BACK, agentIncarnation, "")),
            context.transactions().deletePermit(step.permitNumber())));
  }
}
