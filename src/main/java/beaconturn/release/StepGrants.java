package beaconturn.release;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Grants steps: an instance gets a disruption permit and is to run a variant. */
final class StepGrants {
  private static final long UNKNOWN_START = -1;

  private StepGrants() {}

  /**
   * Takes a new permit for an instance. The counter of permits is changed with it, so that all who
   * have counted the budget at the same time have to count again.
   */
  static RolloutTransaction withNewPermit(
      DriverContext context, String instanceId, InstanceVariant variant) {
    RolloutSnapshot snapshot = context.snapshot();
    RolloutPlan plan = context.plan();
    long number = snapshot.lastPermitNumber() + 1;
    String reason =
        variant == InstanceVariant.NEW ? plan.reason() : "back: " + snapshot.state().reason();
    DisruptionPermit permit =
        new DisruptionPermit(number, plan.kind(), instanceId, "release " + plan.number(), reason);
    Set<String> unavailable =
        new HashSet<>(snapshot.unavailable(plan.kind(), context.unplanned()).keySet());
    unavailable.add(instanceId);
    RolloutKeys keys = context.keys();
    RolloutTransactions transactions = context.transactions();
    return context.transaction(
        instanceId + " goes out under permit " + number + ", " + unavailable.size() + " out",
        List.of(keys.permitCounter(), keys.fleetDefinition(), keys.step(instanceId)),
        List.of(
            transactions.putLastPermitNumber(number),
            transactions.put(permit),
            transactions.put(step(context, instanceId, number, variant))));
  }

  /** The granted step of an instance under a permit. */
  static RolloutStep step(
      DriverContext context, String instanceId, long permitNumber, InstanceVariant variant) {
    long start = context.observed().latestStartNanos().getOrDefault(instanceId, UNKNOWN_START);
    return new RolloutStep(instanceId, permitNumber, StepPhase.GRANTED, variant, "", "", start, 0);
  }
}
