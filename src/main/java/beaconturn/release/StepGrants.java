package beaconturn.release;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Builds the transactions and records that grant a step to an instance. */
final class StepGrants {
  private static final long UNKNOWN_START_NANOS = -1;

  private StepGrants() {}

  /**
   * Returns a transaction that grants a step under a new permit. The transaction also changes the
   * permit counter, so that concurrent decisions on the same budget fail and are made again.
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
            transactions.put(grantedStep(context, instanceId, number, variant))));
  }

  /** Returns a granted step under an existing permit. */
  static RolloutStep grantedStep(
      DriverContext context, String instanceId, long permitNumber, InstanceVariant variant) {
    long previousStartNanos =
        context.observed().latestStartNanos().getOrDefault(instanceId, UNKNOWN_START_NANOS);
    return new RolloutStep(
        instanceId, permitNumber, StepPhase.GRANTED, variant, "", "", previousStartNanos, 0);
  }
}
