package beaconturn.release;

import beaconturn.agreement.StoreRequest;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/**
 * Drives a release: decides the next transaction from what the store holds. Any process may drive;
 * each transaction holds only while that process holds the lease of the driver. Of its own it keeps
 * since when it has watched instances; a driver that takes over watches them anew. Confined to one
 * thread.
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

  /** A driver of that incarnation; the clock gives the time of history lines as a text. */
  public RolloutDriver(RolloutKeys keys, String incarnation, Supplier<String> clock) {
    this.keys = keys;
    this.incarnation = incarnation;
    this.transactions = new RolloutTransactions(keys, clock);
    this.configRollout = new ConfigRollout(keys);
    this.waveRollout = new WaveRollout(new CanaryCheck(baselines), verifiedWatch, load);
    this.rollback = new Rollback(configRollout);
  }

  /** What the release waits for, in words; empty where it does not wait. */
  public String waitReason() {
    return waitReason;
  }

  /**
   * The transaction that makes this process the driver, bound to its lease; null where there is a
   * driver or nothing to drive.
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
        "drives the release");
  }

  /**
   * The next transaction where the configuration versions are not known, or null while the release
   * waits.
   */
  public RolloutTransaction nextTransaction(
      RolloutSnapshot snapshot, Unavailability observed, long nowNanos) {
    return nextTransaction(snapshot, observed, null, nowNanos);
  }

  /**
   * The next transaction, or null while the release waits.
   *
   * @param observed instances that are out without a permit
   * @param agreed configuration versions, or null where they are not known
   * @param nowNanos by a clock that never goes back
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
    verifiedWatch.observe(context.snapshot(), unplanned, baselines.isDisturbed(), context.nowNanos());
    load.observe(context.snapshot(), context.nowNanos());
  }

  private RolloutTransaction decide(DriverContext context) {
    return switch (context.snapshot().state().mode()) {
      case RUNNING -> rollForward(context);
      case ROLLING_BACK -> rollback.nextTransaction(context);
      case HALTED, COMPLETED, ROLLED_BACK, ABANDONED -> null;
    };
  }

  /** The configuration comes first: what is released may need it, and nothing of it runs yet. */
  private RolloutTransaction rollForward(DriverContext context) {
    if (context.plan().configContent() != null && !configRollout.isInForce(context)) {
      return configRollout.advance(context);
    }
    return waveRollout.nextTransaction(context);
  }
}
