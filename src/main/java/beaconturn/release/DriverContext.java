package beaconturn.release;

import beaconturn.agreement.StoreRequest;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * The inputs of one decision of a driver, and the reason to wait that the decision results in.
 * Confined to the thread of its driver.
 */
final class DriverContext {
  private final RolloutKeys keys;
  private final RolloutTransactions transactions;
  private final String driverIncarnation;
  private final RolloutSnapshot snapshot;
  private final Unavailability observed;
  private final Map<String, String> unplanned;
  private final AgreedVersions agreed;
  private final long nowNanos;
  private String waitReason = "";

  /**
   * Creates the context of one decision.
   *
   * @param driverIncarnation incarnation of the driver
   * @param observed instances that are out of service without a permit
   * @param agreed configuration versions; null if not known
   * @param nowNanos time by a monotonic clock
   */
  DriverContext(
      RolloutKeys keys,
      RolloutTransactions transactions,
      String driverIncarnation,
      RolloutSnapshot snapshot,
      Unavailability observed,
      AgreedVersions agreed,
      long nowNanos) {
    this.keys = keys;
    this.transactions = transactions;
    this.driverIncarnation = driverIncarnation;
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

  /** Returns reasons by instance of the release's kind that is out of service without a permit. */
  Map<String, String> unplanned() {
    return unplanned;
  }

  /** Returns the configuration versions; null if not known. */
  AgreedVersions agreed() {
    return agreed;
  }

  long nowNanos() {
    return nowNanos;
  }

  /** Returns why the release waits; empty if it does not. */
  String waitReason() {
    return waitReason;
  }

  /** Sets why the release waits; a later reason replaces an earlier one. */
  void waitFor(String reason) {
    waitReason = reason;
  }

  /**
   * Returns a transaction on condition that this process is still the driver and that the keys
   * which the decision was based on are unchanged.
   */
  RolloutTransaction transaction(
      String description, List<String> unchangedKeys, List<StoreRequest.Change> changes) {
    List<String> unchanged = new ArrayList<>(unchangedKeys);
    unchanged.add(keys.driver());
    return transactions.transaction(snapshot, driverIncarnation, description, unchanged, changes);
  }

  RolloutTransaction changeMode(String description, RolloutMode mode, String reason) {
    return transaction(
        description,
        List.of(),
        List.of(transactions.put(new RolloutState(mode, reason, driverIncarnation))));
  }

  RolloutTransaction rollBack(String reason) {
    return changeMode("goes back: " + reason, RolloutMode.ROLLING_BACK, reason);
  }
}
