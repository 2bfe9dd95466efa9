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
 * Operators' commands to releases. Each reads what the store holds and carries out one transaction;
 * an {@link AgreementException} says why a command is not allowed as things are, or that the store
 * does not answer.
 */
public final class RolloutAdmin {
  private final RolloutKeys keys;
  private final RolloutTransactions transactions;
  private final RolloutStore store;
  private final String author;

  /** Commands of one operator to one fleet; the clock gives the time of history lines. */
  public RolloutAdmin(
      RolloutKeys keys, CoordinationStore store, String author, Supplier<String> clock) {
    this.keys = keys;
    this.transactions = new RolloutTransactions(keys, clock);
    this.store = new RolloutStore(keys, store);
    this.author = author;
  }

  /** What the store holds now. */
  public RolloutSnapshot snapshot() throws AgreementException {
    return store.snapshot();
  }

  /** All lines of the history, the oldest first. */
  public List<String> history() throws AgreementException {
    return store.request(new StoreRequest.Read(keys.history())).entries().stream()
        .map(StoreResponse.Entry::value)
        .toList();
  }

  /** The time series of a release; empty where none was recorded. */
  public RolloutTimeSeries timeSeries(long releaseNumber) throws AgreementException {
    List<StoreResponse.Entry> found =
        store.request(new StoreRequest.Read(keys.timeSeries(releaseNumber))).entries();
    return found.isEmpty()
        ? RolloutTimeSeries.EMPTY
        : RolloutTimeSeriesCodec.decode(found.get(0).value());
  }

  /** Defines the instances of the fleet and its disruption budget, from the next step on. */
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

  /** Why a release cannot be started as things are, or null where it can. */
  public static String blockingReason(RolloutPlan plan, RolloutSnapshot snapshot) {
    String blockingReason = plan.blockingReason(snapshot.fleet());
    return blockingReason != null ? blockingReason : InstanceLoad.blockingReason(plan, snapshot);
  }

  /** Starts a release; its number is the one after that of the last. */
  public String start(RolloutPlan plan) throws AgreementException {
    return store.execute(snapshot -> startTransaction(snapshot, plan));
  }

  private RolloutTransaction startTransaction(RolloutSnapshot snapshot, RolloutPlan wanted)
      throws AgreementException {
    if (!snapshot.state().isOver()) {
      throw new AgreementException(
          "release " + snapshot.plan().number() + " is at hand: it " + describe(snapshot.state()));
    }
    String blockingReason = blockingReason(wanted, snapshot);
    if (blockingReason != null) {
      throw new AgreementException(blockingReason);
    }
    long number = snapshot.plan() == null ? 1 : snapshot.plan().number() + 1;
    RolloutPlan plan = wanted.startedAs(number, snapshot.storeId());
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

  /** Halts the release: no step begins from now on. */
  public String halt(String reason) throws AgreementException {
    return changeMode(
        "halted",
        reason,
        RolloutMode.HALTED,
        Set.of(RolloutMode.RUNNING, RolloutMode.ROLLING_BACK));
  }

  /**
   * Resumes a release that was halted, forwards also where it was being rolled back when it was
   * halted; to go on with that, see {@link #rollBack}.
   */
  public String resume(String reason) throws AgreementException {
    return changeMode("goes on", reason, RolloutMode.RUNNING, Set.of(RolloutMode.HALTED));
  }

  /** Rolls all steps back in the reverse order. */
  public String rollBack(String reason) throws AgreementException {
    return changeMode(
        "goes back",
        reason,
        RolloutMode.ROLLING_BACK,
        Set.of(RolloutMode.RUNNING, RolloutMode.HALTED));
  }

  /** Leaves all as it is; instances that are out keep their permits. */
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
    boolean actsOnNothing = mode == RolloutMode.ABANDONED || mode == RolloutMode.HALTED;
    if (snapshot.storeReplaced() && !actsOnNothing) {
      throw new AgreementException(RolloutSnapshot.STORE_REPLACED);
    }
  }

  /** The state of a rollout in words, to follow "release N". */
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
