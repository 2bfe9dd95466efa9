package beaconturn.release;

import beaconturn.agreement.AgreementException;
import beaconturn.agreement.CoordinationStore;
import beaconturn.agreement.StoreRequest;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.function.Supplier;

/**
 * Executes operators' commands on disruption permits: drains outside a release, returns of permits,
 * and the evacuation of a zone. Methods throw an {@link AgreementException} if the command is not
 * allowed in the current state or the store does not reply.
 */
public final class DisruptionPermitAdmin {
  private final RolloutKeys keys;
  private final RolloutTransactions transactions;
  private final RolloutStore store;
  private final String author;

  /**
   * Creates the commands of one operator on one fleet.
   *
   * @param author name of the operator, for the history
   * @param clock provides the formatted time of history lines
   */
  public DisruptionPermitAdmin(
      RolloutKeys keys, CoordinationStore store, String author, Supplier<String> clock) {
    this.keys = keys;
    this.transactions = new RolloutTransactions(keys, clock);
    this.store = new RolloutStore(keys, store);
    this.author = author;
  }

  /**
   * Acquires a permit for an instance outside a release, for instance for a drain.
   *
   * @param observed instances that are out of service without a permit
   * @return the number of the permit
   */
  public long takePermit(
      InstanceKind kind, String instanceId, String reason, Unavailability observed)
      throws AgreementException {
    store.execute(snapshot -> takeTransaction(snapshot, kind, instanceId, reason, observed));
    return permitOf(store.snapshot(), kind, instanceId).number();
  }

  private RolloutTransaction takeTransaction(
      RolloutSnapshot snapshot,
      InstanceKind kind,
      String instanceId,
      String reason,
      Unavailability observed)
      throws AgreementException {
    DisruptionPermit held = permitOf(snapshot, kind, instanceId);
    if (held != null) {
      throw new AgreementException(instanceId + " already holds permit " + held.number());
    }
    String blockingReason =
        new DisruptionBudget(snapshot, kind)
            .blockingReason(instanceId, observed, observed.reasons());
    if (blockingReason != null) {
      throw new AgreementException("no permit is available: " + blockingReason);
    }
    long number = snapshot.lastPermitNumber() + 1;
    return transactions.transaction(
        snapshot,
        author,
        instanceId + " goes out under permit " + number + ": " + reason,
        List.of(keys.permitCounter(), keys.fleetDefinition()),
        List.of(
            transactions.putLastPermitNumber(number),
            transactions.put(new DisruptionPermit(number, kind, instanceId, author, reason))));
  }

  /** Returns the permit of an instance that is back in service, or permanently lost. */
  public String returnPermit(InstanceKind kind, String instanceId, String reason)
      throws AgreementException {
    return store.execute(snapshot -> returnTransaction(snapshot, kind, instanceId, reason));
  }

  private RolloutTransaction returnTransaction(
      RolloutSnapshot snapshot, InstanceKind kind, String instanceId, String reason)
      throws AgreementException {
    DisruptionPermit permit = permitOf(snapshot, kind, instanceId);
    if (permit == null) {
      throw new AgreementException(instanceId + " holds no permit");
    }
    List<StoreRequest.Change> changes = new ArrayList<>();
    changes.add(transactions.deletePermit(permit.number()));
    RolloutStep step = snapshot.steps().get(instanceId);
    if (step != null && step.permitNumber() == permit.number()) {
      // Ends the step, so that an agent acting under the returned permit cannot report a result.
      changes.add(transactions.put(step.withPhase(StepPhase.ROLLED_BACK, "", reason)));
    }
    return transactions.transaction(
        snapshot,
        author,
        instanceId + " gives permit " + permit.number() + " back: " + reason,
        step == null ? List.of() : List.of(keys.step(instanceId)),
        changes);
  }

  /**
   * Returns the conditions and changes for a transaction that takes a whole zone out of service,
   * which is allowed if no instance of another zone holds a permit. A change of the permit counter
   * makes concurrent acquisitions fail. Empty if no fleet is defined.
   */
  public StoreRequest.Transaction zoneEvacuation(String zone, String reason)
      throws AgreementException {
    RolloutSnapshot snapshot = store.snapshot();
    if (snapshot.fleet().groups().isEmpty()) {
      return new StoreRequest.Transaction(List.of(), List.of());
    }
    List<String> others =
        snapshot.permits().values().stream()
            .filter(permit -> !zone.equals(zoneOf(snapshot, permit)))
            .map(DisruptionPermitAdmin::describe)
            .toList();
    if (!others.isEmpty()) {
      throw new AgreementException(
          "not allowed while parts of other sites are out of service: "
              + String.join(", ", others));
    }
    return transactions
        .transaction(
            snapshot,
            author,
            "site " + zone + " is taken out: " + reason,
            List.of(keys.permitCounter(), keys.fleetDefinition()),
            List.of(transactions.putLastPermitNumber(snapshot.lastPermitNumber() + 1)))
        .storeTransaction();
  }

  private static String zoneOf(RolloutSnapshot snapshot, DisruptionPermit permit) {
    return snapshot.fleet().group(permit.kind()).zoneOf(permit.instanceId());
  }

  private static String describe(DisruptionPermit permit) {
    String holder = "permit " + permit.number() + " of " + permit.holder();
    return permit.instanceId() + " (" + holder + ": " + permit.reason() + ")";
  }

  /** Returns the permit of an instance; null if it holds none. */
  private static DisruptionPermit permitOf(
      RolloutSnapshot snapshot, InstanceKind kind, String instanceId) {
    return snapshot.permits().values().stream()
        .filter(permit -> permit.kind() == kind)
        .filter(permit -> Objects.equals(permit.instanceId(), instanceId))
        .findFirst()
        .orElse(null);
  }
}
