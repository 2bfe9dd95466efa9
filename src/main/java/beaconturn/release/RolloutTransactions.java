package beaconturn.release;

import beaconturn.agreement.StoreRequest;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;

/**
 * Builds the transactions of a release and the changes that they consist of. Each transaction adds
 * a line to the history.
 */
final class RolloutTransactions {
  private final RolloutKeys keys;
  private final Supplier<String> clock;

  /**
   * Creates a builder.
   *
   * @param clock provides the formatted time of history lines
   */
  RolloutTransactions(RolloutKeys keys, Supplier<String> clock) {
    this.keys = keys;
    this.clock = clock;
  }

  /**
   * Returns a transaction on condition that the plan, the state of the rollout, the history length
   * and the given keys are unchanged since the snapshot.
   */
  RolloutTransaction transaction(
      RolloutSnapshot snapshot,
      String author,
      String description,
      List<String> unchangedKeys,
      List<StoreRequest.Change> changes) {
    List<StoreRequest.Condition> conditions = new ArrayList<>();
    conditions.add(snapshot.unchanged(keys.state()));
    conditions.add(snapshot.unchanged(keys.plan()));
    unchangedKeys.forEach(key -> conditions.add(snapshot.unchanged(key)));
    conditions.add(snapshot.unchanged(keys.historyLength()));
    List<StoreRequest.Change> allChanges = new ArrayList<>(changes);
    allChanges.addAll(appendHistory(snapshot, author, description));
    return new RolloutTransaction(
        new StoreRequest.Transaction(conditions, allChanges), description);
  }

  /** Returns the changes that add a line to the history. */
  List<StoreRequest.Change> appendHistory(
      RolloutSnapshot snapshot, String author, String description) {
    long number = snapshot.historyLength() + 1;
    return List.of(
        put(keys.historyLine(number), clock.get() + " " + author + ": " + description),
        put(keys.historyLength(), Long.toString(number)));
  }

  StoreRequest.Change put(RolloutStep step) {
    return put(keys.step(step.instanceId()), RolloutCodec.encode(step));
  }

  StoreRequest.Change put(DisruptionPermit permit) {
    return put(keys.permit(permit.number()), RolloutCodec.encode(permit));
  }

  StoreRequest.Change put(ConfigChange change) {
    return put(keys.configChange(), RolloutCodec.encode(change));
  }

  StoreRequest.Change put(RolloutState state) {
    return put(keys.state(), RolloutCodec.encode(state));
  }

  StoreRequest.Change putLastPermitNumber(long number) {
    return put(keys.permitCounter(), Long.toString(number));
  }

  StoreRequest.Change deletePermit(long number) {
    return new StoreRequest.Change.Delete(keys.permit(number));
  }

  static StoreRequest.Change put(String key, String value) {
    return new StoreRequest.Change.Put(key, value, 0);
  }
}
