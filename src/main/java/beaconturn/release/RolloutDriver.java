package beaconturn.release;

import beaconturn.agreement.StoreRequest;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/**
 * Drives a release: decides the next transaction from a snapshot of the store. Any process may
 * drive; each transaction is conditional on that process holding the driver lease. The only local
 * state is what the driver has observed of instances over time; a driver that takes over starts
 * observing anew. Confined to one thread.
 */
public final class RolloutDriver {
  private final RolloutKeys keys;
  private final String incarnation;
  private final RolloutTransactions transactions;
  private final CanaryBaselines baselines = new CanaryBaselines();
  private final VerifiedInstanceWatch verifiedWatch = new VerifiedInstanceWatch();
  private final InstanceLoad load = new InstanceLoad();
  private final ConfigRollout configRollout;
  private final WaveRollout waveRollout;
  private final Rollback rollback;
  private String waitReason = "";

  /**
   * Creates a driver.
   *
   * @param incarnation identifies this process among drivers
   * @param clock provides the formatted time of history lines
   */
  public RolloutDriver(RolloutKeys keys, String incarnation, Supplier<String> clock) {
    this.keys = keys;
    this.incarnation = incarnation;
    this.transactions = new RolloutTransactions(keys, clock);
    this.configRollout = new ConfigRollout(keys);
    this.waveRollout = new WaveRollout(new CanaryCheck(baselines), verifiedWatch, load);
    this.rollback = new Rollback(configRollout);
  }

  /** Returns why the release waits, as of the last decision; empty if it does not. */
  public String waitReason() {
    return waitReason;
  }

  /**
   * Returns the transaction that makes this process the driver, bound to its lease; null if there
   * is a driver or no release to drive.
   */
  public RolloutTransaction acquireLease(RolloutSnapshot snapshot, long leaseId) {
    boolean nothingToDrive = snapshot.plan() == null || snapshot.state().isOver();
    if (nothingToDrive || !snapshot.driver().isEmpty()) {
      return null;
    }
    return new RolloutTransaction(
        new StoreRequest.Transaction(
            List.of(new StoreRequest.Condition.Unchanged(keys.driver(), 0)),
            List.of(new StoreRequest.Change.Put(keys.driver(), incarnation, leaseId))),
        "acquires the driver lease");
  }

  /**
   * Returns the next transaction without knowledge of the configuration versions; null while the
   * release waits.
   */
  public RolloutTransaction nextTransaction(
      RolloutSnapshot snapshot, Unavailability observed, long nowNanos) {
    return nextTransaction(snapshot, observed, null, nowNanos);
  }

  /**
   * Returns the next transaction; null while the release waits.
   *
   * @param observed instances that are out of service without a permit
   * @param agreed configuration versions; null if not known
   * @param nowNanos time by a monotonic clock
   */
  public RolloutTransaction nextTransaction(
      RolloutSnapshot snapshot, Unavailability observed, AgreedVersions agreed, long nowNanos) {
    waitReason = "";
    if (snapshot.plan() == null || !snapshot.driver().equals(incarnation)) {
      return null;
    }
    if (snapshot.storeReplaced()) {
      waitReason = RolloutSnapshot.STORE_REPLACED;
      return null;
    }
    DriverContext context =
        new DriverContext(keys, transactions, incarnation, snapshot, observed, agreed, nowNanos);
    observe(context);
    RolloutTransaction transaction = decide(context);
    waitReason = context.waitReason();
    return transaction;
  }

  private void observe(DriverContext context) {
    Map<String, String> unplanned = context.unplanned();
    baselines.observe(context.snapshot(), unplanned, context.nowNanos());
    verifiedWatch.observe(
        context.snapshot(), unplanned, baselines.isDisturbed(), context.nowNanos());
    load.observe(context.snapshot(), context.nowNanos());
  }

  private RolloutTransaction decide(DriverContext context) {
    return switch (context.snapshot().state().mode()) {
      case RUNNING -> rollForward(context);
      case ROLLING_BACK -> rollback.nextTransaction(context);
      case HALTED, COMPLETED, ROLLED_BACK, ABANDONED -> null;
    };
  }

  /** The configuration takes effect before any step, as the new variant may depend on it. */
  private RolloutTransaction rollForward(DriverContext context) {
    if (context.plan().configContent() != null && !configRollout.isInForce(context)) {
      return configRollout.advance(context);
    }
    return waveRollout.nextTransaction(context);
  }
}
