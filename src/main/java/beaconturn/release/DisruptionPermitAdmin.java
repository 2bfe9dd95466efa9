package beaconturn.release;

import beaconturn.agreement.AgreementException;
import beaconturn.agreement.CoordinationStore;
import beaconturn.agreement.StoreRequest;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.function.Supplier;

/**
 * Operators' commands to disruption permits: drains outside of a release, returns of permits, and
 * the evacuation of a zone. An {@link AgreementException} says why a command is not allowed as
 * things are, or that the store does not answer.
 */
public final class DisruptionPermitAdmin {
  private final RolloutKeys keys;
  private final RolloutTransactions transactions;
  private final RolloutStore store;
  private final String author;

  /** Commands of one operator to one fleet; the clock gives the time of history lines. */
  public DisruptionPermitAdmin(
      RolloutKeys keys, CoordinationStore store, String author, Supplier<String> clock) {
    this.keys = keys;
    this.transactions = new RolloutTransactions(keys, clock);
    this.store = new RolloutStore(keys, store);
    this.author = author;
  }

  /**
   * Takes a permit for an instance outside of a release, for instance for a drain.
   *
   * @param observed instances that are out without a permit
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
      throw new AgreementException(instanceId + " is out under permit " + held.number());
    }
    String blockingReason =
        new DisruptionBudget(snapshot, kind).blockingReason(instanceId, observed, observed.reasons());
    if (blockingReason != null) {
      throw new AgreementException("no place is free: " + blockingReason);
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

  /** Returns the permit of an instance that is back in service, or known to be lost. */
  public String returnPermit(InstanceKind kind, String instanceId, String reason)
      throws AgreementException {
    return store.execute(snapshot -> returnTransaction(snapshot, kind, instanceId, reason));
  }

  private RolloutTransaction returnTransaction(
      RolloutSnapshot snapshot, InstanceKind kind, String instanceId, String reason)
      throws AgreementException {
    DisruptionPermit permit = permitOf(snapshot, kind, instanceId);
    if (permit == null) {
      throw new AgreementException(instanceId + " holds no place");
    }
    List<StoreRequest.Change> changes = new ArrayList<>();
    changes.add(transactions.deletePermit(permit.number()));
    RolloutStep step = snapshot.steps().get(instanceId);
    if (step != null && step.permitNumber() == permit.number()) {
      // An agent that acts under the returned permit can report nothing any more.
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
   * Conditions and changes of a transaction that takes a whole zone out of service: no instance of
   * another zone is out under a permit, and whoever takes a permit at the same time has to decide
   * anew. Empty where no fleet is defined.
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
          "not while parts of other sites are out: " + String.join(", ", others));
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

  /** The permit of an instance, or null. */
  private static DisruptionPermit permitOf(
      RolloutSnapshot snapshot, InstanceKind kind, String instanceId) {
    return snapshot.permits().values().stream()
        .filter(permit -> permit.kind() == kind)
        .filter(permit -> Objects.equals(permit.instanceId(), instanceId))
        .findFirst()
        .orElse(null);
  }
}
