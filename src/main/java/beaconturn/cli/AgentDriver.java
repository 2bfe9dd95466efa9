package beaconturn.cli;

import beaconturn.agreement.AgreementException;
import beaconturn.agreement.AgreementKeys;
import beaconturn.agreement.AgreementStatus;
import beaconturn.agreement.ConfigAdmin;
import beaconturn.agreement.CoordinationStore;
import beaconturn.release.AgreedVersions;
import beaconturn.release.RolloutAdmin;
import beaconturn.release.RolloutDriver;
import beaconturn.release.RolloutKeys;
import beaconturn.release.RolloutRecorder;
import beaconturn.release.RolloutSnapshot;
import beaconturn.release.RolloutTransaction;
import beaconturn.release.Unavailability;
import beaconturn.zones.ZonesKeys;

/**
 * Drives the rollout while this agent is its driver, and otherwise stands by to take over the
 * driver's lease. Confined to the agent's thread.
 */
final class AgentDriver {
  /** Metrics within a wait reason; a change of their values alone is not logged. */
  private static final String METRICS_REGEX = "[0-9.]+ of [0-9]+ answers bad.*| of [0-9]+ at .*";

  private final RolloutKeys keys;
  private final AgentStore store;
  private final String incarnation;
  private final ConfigAdmin agreement;
  private final ObservedUnavailability observedUnavailability;
  private final RolloutAdmin rollouts;
  private final RolloutDriver driver;
  private RolloutRecorder recorder;
  private String loggedWaitReason = "";

  AgentDriver(
      RolloutKeys keys, CoordinationStore storeClient, AgentStore store, String incarnation) {
    this.keys = keys;
    this.store = store;
    this.incarnation = incarnation;
    this.agreement = new ConfigAdmin(new AgreementKeys(keys.fleet()), storeClient);
    this.observedUnavailability =
        new ObservedUnavailability(agreement, new ZonesKeys(keys.fleet()), storeClient);
    this.rollouts = new RolloutAdmin(keys, storeClient, incarnation, AgentRunner::now);
    this.driver = new RolloutDriver(keys, incarnation, AgentRunner::now);
  }

  /** Acquires the driver's lease if it is free, or executes the next step if this agent drives. */
  void drive(RolloutSnapshot snapshot, AgentLease lease) {
    try {
      RolloutTransaction transaction =
          lease.isHeld() ? driver.acquireLease(snapshot, lease.id()) : null;
      boolean isDriver = snapshot.driver().equals(incarnation) && snapshot.plan() != null;
      if (transaction == null && isDriver) {
        transaction = nextTransaction(snapshot);
      }
      if (transaction != null) {
        store.execute(transaction);
      }
    } catch (AgreementException e) {
      AgentStore.log("driver step failed: " + e.getMessage());
    }
  }

  private RolloutTransaction nextTransaction(RolloutSnapshot snapshot) throws AgreementException {
    AgreementStatus agreementStatus = agreement.status();
    Unavailability unavailability =
        observedUnavailability.read(snapshot.plan().kind(), snapshot.fleet(), agreementStatus);
    record(snapshot, unavailability);
    RolloutTransaction transaction =
        driver.nextTransaction(
            snapshot, unavailability, agreedVersions(snapshot, agreementStatus), System.nanoTime());
    logWaitReason();
    return transaction;
  }

  /** Records a point of the time series if one is due; decisions do not depend on it. */
  private void record(RolloutSnapshot snapshot, Unavailability unavailability)
      throws AgreementException {
    long releaseNumber = snapshot.plan().number();
    if (snapshot.state().isOver()) {
      return;
    }
    if (recorder == null || recorder.releaseNumber() != releaseNumber) {
      recorder = new RolloutRecorder(keys, releaseNumber, rollouts.timeSeries(releaseNumber));
    }
    RolloutTransaction pointTransaction =
        recorder.nextTransaction(snapshot, unavailability, System.currentTimeMillis());
    if (pointTransaction != null) {
      store.write(pointTransaction.storeTransaction());
    }
  }

  /** Returns null, without reading, if the plan contains no configuration. */
  private AgreedVersions agreedVersions(RolloutSnapshot snapshot, AgreementStatus agreementStatus)
      throws AgreementException {
    if (snapshot.plan().configContent() == null) {
      return null;
    }
    return new AgreedVersions(
        agreementStatus.snapshot(),
        agreement.nextVersionNumber(),
        agreementStatus.awaitedMembers(),
        System.currentTimeMillis());
  }

  /** Logs the reason why the rollout waits whenever the reason changes. */
  private void logWaitReason() {
    String reasonWithoutMetrics = driver.waitReason().replaceAll(METRICS_REGEX, "");
    if (!reasonWithoutMetrics.equals(loggedWaitReason) && !reasonWithoutMetrics.isEmpty()) {
      AgentStore.log("rollout waits: " + driver.waitReason());
    }
    loggedWaitReason = reasonWithoutMetrics;
  }
}
