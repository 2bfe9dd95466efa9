package beaconturn.release;

import beaconturn.agreement.StoreRequest;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * One decision of a driver: what it is based on, and why the release waits where nothing is to be
 * done. Confined to the thread of its driver.
 */
final class DriverContext {
  private final RolloutKeys keys;
  private final RolloutTransactions transactions;
  private final String driver;
  private final RolloutSnapshot snapshot;
  private final Unavailability observed;
  private final Map<String, String> unplanned;
  private final AgreedVersions agreed;
  private final long nowNanos;
  private String waitReason = "";

  /**
   * A context.
   *
   * @param driver incarnation of the driver
   * @param observed instances that are out without a permit
   * @param agreed configuration versions, or null where they are not known
   * @param nowNanos by a clock that never goes back
   */
  DriverContext(
      RolloutKeys keys,
      RolloutTransactions transactions,
      String driver,
      RolloutSnapshot snapshot,
      Unavailability observed,
      AgreedVersions agreed,
      long nowNanos) {
    this.keys = keys;
    this.transactions = transactions;
    this.driver = driver;
    this.snapshot = snapshot;
    this.observed = observed;
    this.unplanned = observed.duringRollout(snapshot);
    this.agreed = agreed;
    this.nowNanos = nowNanos;
  }

  RolloutKeys keys() {
    return keys;
  }

  RolloutTransactions transactions() {
    return transactions;
  }

  RolloutSnapshot snapshot() {
    return snapshot;
  }

  RolloutPlan plan() {
    return snapshot.plan();
  }

  Unavailability observed() {
    return observed;
  }

  /** Instances of the release's kind that are out without a permit, with reasons. */
  Map<String, String> unplanned() {
    return unplanned;
  }

  /** Configuration versions, or null where they are not known. */
  AgreedVersions agreed() {
    return agreed;
  }

  long nowNanos() {
    return nowNanos;
  }

  /** Why the release waits; empty where it does not. */
  String waitReason() {
    return waitReason;
  }

  /** Notes why the release waits; a later reason replaces an earlier one. */
  void waitFor(String reason) {
    waitReason = reason;
  }

  /**
   * A transaction with the conditions of all that a driver does: it is the driver still, and what
   * it has decided on is unchanged.
   */
  RolloutTransaction transaction(
      String description, List<String> unchangedKeys, List<StoreRequest.Change> changes) {
    List<String> unchanged = new ArrayList<>(unchangedKeys);
    unchanged.add(keys.driver());
    return transactions.transaction(snapshot, driver, description, unchanged, changes);
  }

  /** Puts the rollout in another mode. */
  RolloutTransaction changeMode(String description, RolloutMode mode, String reason) {
    return transaction(
        description, List.of(), List.of(transactions.put(new RolloutState(mode, reason, driver))));
  }

  /** Begins the rollback. */
  RolloutTransaction rollBack(String reason) {
    return changeMode("goes back: " + reason, RolloutMode.ROLLING_BACK, reason);
  }
}
