package beaconturn.release;

import beaconturn.agreement.AgreementException;
import beaconturn.agreement.CoordinationStore;
import beaconturn.agreement.StoreRequest;
import beaconturn.agreement.StoreResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;

/**
 * Executes operators' commands on releases. Each command reads the store and executes one
 * transaction. Methods throw an {@link AgreementException} if the command is not allowed in the
 * current state or the store does not reply. Commands return a description of what was done.
 */
public final class RolloutAdmin {
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
  public RolloutAdmin(
      RolloutKeys keys, CoordinationStore store, String author, Supplier<String> clock) {
    this.keys = keys;
    this.transactions = new RolloutTransactions(keys, clock);
    this.store = new RolloutStore(keys, store);
    this.author = author;
  }

  /** Reads the current release data. */
  public RolloutSnapshot snapshot() throws AgreementException {
    return store.snapshot();
  }

  /** Reads all lines of the history, the oldest first. */
  public List<String> history() throws AgreementException {
    return store.request(new StoreRequest.Read(keys.history())).entries().stream()
        .map(StoreResponse.Entry::value)
        .toList();
  }

  /** Reads the time series of a release; empty if none was recorded. */
  public RolloutTimeSeries timeSeries(long releaseNumber) throws AgreementException {
    List<StoreResponse.Entry> entries =
        store.request(new StoreRequest.Read(keys.timeSeries(releaseNumber))).entries();
    return entries.isEmpty()
        ? RolloutTimeSeries.EMPTY
        : RolloutTimeSeriesCodec.decode(entries.get(0).value());
  }

  /** Defines the instances of the fleet and its disruption budget; applies from the next step. */
  public String defineFleet(ReleaseFleet fleet) throws AgreementException {
    String key = keys.fleetDefinition();
    return store.execute(
        snapshot ->
            transactions.transaction(
                snapshot,
                author,
                "the fleet and what may be out of it are said anew",
                List.of(key),
                List.of(RolloutTransactions.put(key, ReleaseFleetCodec.encode(fleet)))));
  }

  /** Returns why a release cannot be started in the current state; null if it can. */
  public static String blockingReason(RolloutPlan plan, RolloutSnapshot snapshot) {
    String blockingReason = plan.blockingReason(snapshot.fleet());
    return blockingReason != null ? blockingReason : InstanceLoad.blockingReason(plan, snapshot);
  }

  /** Starts a release under the next release number. */
  public String start(RolloutPlan plan) throws AgreementException {
    return store.execute(snapshot -> startTransaction(snapshot, plan));
  }

  private RolloutTransaction startTransaction(RolloutSnapshot snapshot, RolloutPlan requestedPlan)
      throws AgreementException {
    if (!snapshot.state().isOver()) {
      throw new AgreementException(
          "release " + snapshot.plan().number() + " is not over: it " + describe(snapshot.state()));
    }
    String blockingReason = blockingReason(requestedPlan, snapshot);
    if (blockingReason != null) {
      throw new AgreementException(blockingReason);
    }
    long number = snapshot.plan() == null ? 1 : snapshot.plan().number() + 1;
    RolloutPlan plan = requestedPlan.startedAs(number, snapshot.storeId());
    List<StoreRequest.Change> changes = new ArrayList<>();
    changes.add(RolloutTransactions.put(keys.plan(), RolloutPlanCodec.encode(plan)));
    changes.add(transactions.put(new RolloutState(RolloutMode.RUNNING, plan.reason(), author)));
    changes.addAll(deletionsOfLastRelease(snapshot));
    return transactions.transaction(
        snapshot,
        author,
        "release " + number + " begins: " + plan.reason(),
        List.of(keys.fleetDefinition()),
        changes);
  }

  private List<StoreRequest.Change> deletionsOfLastRelease(RolloutSnapshot snapshot) {
    List<StoreRequest.Change> deletions = new ArrayList<>();
    for (String instanceId : snapshot.steps().keySet()) {
      deletions.add(new StoreRequest.Change.Delete(keys.step(instanceId)));
    }
    if (snapshot.configChange() != null) {
      deletions.add(new StoreRequest.Change.Delete(keys.configChange()));
    }
    return deletions;
  }

  /** Halts the release: no further step starts. */
  public String halt(String reason) throws AgreementException {
    return changeMode(
        "halted",
        reason,
        RolloutMode.HALTED,
        Set.of(RolloutMode.RUNNING, RolloutMode.ROLLING_BACK));
  }

  /**
   * Resumes a halted release. It rolls forward, even if it was being rolled back when it was
   * halted; to continue a rollback, use {@link #rollBack}.
   */
  public String resume(String reason) throws AgreementException {
    return changeMode("goes on", reason, RolloutMode.RUNNING, Set.of(RolloutMode.HALTED));
  }

  /** Rolls all steps back in reverse order. */
  public String rollBack(String reason) throws AgreementException {
    return changeMode(
        "goes back",
        reason,
        RolloutMode.ROLLING_BACK,
        Set.of(RolloutMode.RUNNING, RolloutMode.HALTED));
  }

  /** Ends the release and leaves all instances as they are; permits in use are kept. */
  public String abandon(String reason) throws AgreementException {
    return changeMode(
        "abandoned",
        reason,
        RolloutMode.ABANDONED,
        Set.of(RolloutMode.RUNNING, RolloutMode.HALTED, RolloutMode.ROLLING_BACK));
  }

  private String changeMode(
      String verb, String reason, RolloutMode mode, Set<RolloutMode> allowedFrom)
      throws AgreementException {
    return store.execute(
        snapshot -> {
          checkModeChange(snapshot, mode, allowedFrom);
          return transactions.transaction(
              snapshot,
              author,
              "release " + snapshot.plan().number() + " " + verb + ": " + reason,
              List.of(),
              List.of(transactions.put(new RolloutState(mode, reason, author))));
        });
  }

  private static void checkModeChange(
      RolloutSnapshot snapshot, RolloutMode mode, Set<RolloutMode> allowedFrom)
      throws AgreementException {
    if (snapshot.plan() == null) {
      throw new AgreementException("not now: there is no release");
    }
    if (!allowedFrom.contains(snapshot.state().mode())) {
      throw new AgreementException(
          "not now: release " + snapshot.plan().number() + " " + describe(snapshot.state()));
    }
    boolean endsSteps = mode == RolloutMode.ABANDONED || mode == RolloutMode.HALTED;
    if (snapshot.storeReplaced() && !endsSteps) {
      throw new AgreementException(RolloutSnapshot.STORE_REPLACED);
    }
  }

  /** Returns the state of a rollout in words that follow "release N". */
  public static String describe(RolloutState state) {
    return switch (state.mode()) {
      case RUNNING -> "runs";
      case HALTED -> "is halted: " + state.reason();
      case ROLLING_BACK -> "goes back: " + state.reason();
      case COMPLETED -> "is done";
      case ROLLED_BACK -> "is undone: " + state.reason();
      case ABANDONED -> "is abandoned: " + state.reason();
    };
  }
}
