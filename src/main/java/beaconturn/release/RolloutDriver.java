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
    DriverContext turn =
        new DriverContext(keys, transactions, incarnation, snapshot, observed, agreed, nowNanos);
    observe(turn);
    RolloutTransaction transaction = decide(turn);
    waitReason = turn.waitReason();
    return transaction;
  }

  private void observe(DriverContext turn) {
    Map<String, String> unplanned = turn.unplanned();
    baselines.observe(turn.snapshot(), unplanned, turn.nowNanos());
    verifiedWatch.observe(turn.snapshot(), unplanned, baselines.isDisturbed(), turn.nowNanos());
    load.observe(turn.snapshot(), turn.nowNanos());
  }

  private RolloutTransaction decide(DriverContext turn) {
    return switch (turn.snapshot().state().mode()) {
      case RUNNING -> rollForward(turn);
      case ROLLING_BACK -> rollback.nextTransaction(turn);
      case HALTED, COMPLETED, ROLLED_BACK, ABANDONED -> null;
    };
  }

  /** The configuration comes first: what is released may need it, and nothing of it runs yet. */
  private RolloutTransaction rollForward(DriverContext turn) {
    if (turn.plan().configContent() != null && !configRollout.isInForce(turn)) {
      return configRollout.advance(turn);
    }
    return waveRollout.nextTransaction(turn);
  }
}
