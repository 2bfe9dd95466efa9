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
 * Drives the release while this agent holds the lease of the driver, and stands by for it
 * otherwise. Confined to the agent's thread.
 */
final class AgentDriver {
  /** Figures that only grow; a change of them alone is not logged. */
  private static final String GROWING_FIGURES = "[0-9.]+ of [0-9]+ answers bad.*| of [0-9]+ at .*";

  private final RolloutKeys keys;
  private final AgentStore store;
  private final String incarnation;
  private final ConfigAdmin agreement;
  private final ObservedUnavailability observed;
  private final RolloutAdmin rollouts;
  private final RolloutDriver driver;
  private RolloutRecorder recorder;
  private String loggedWaitReason = "";

  AgentDriver(RolloutKeys keys, CoordinationStore calls, AgentStore store, String incarnation) {
    this.keys = keys;
    this.store = store;
    this.incarnation = incarnation;
    this.agreement = new ConfigAdmin(new AgreementKeys(keys.fleet()), calls);
    this.observed = new ObservedUnavailability(agreement, new ZonesKeys(keys.fleet()), calls);
    this.rollouts = new RolloutAdmin(keys, calls, incarnation, AgentRunner::now);
    this.driver = new RolloutDriver(keys, incarnation, AgentRunner::now);
  }

  /** Takes the lease of the driver if nobody holds it, or the next step if this agent does. */
  void drive(RolloutSnapshot snapshot, AgentLease lease) {
    try {
      RolloutTransaction transaction =
          lease.isHeld() ? driver.acquireLease(snapshot, lease.id()) : null;
      boolean drives = snapshot.driver().equals(incarnation) && snapshot.plan() != null;
      if (transaction == null && drives) {
        transaction = nextTransaction(snapshot);
      }
      if (transaction != null) {
        store.execute(transaction);
      }
    } catch (AgreementException e) {
      AgentStore.log("does not drive: " + e.getMessage());
    }
  }

  private RolloutTransaction nextTransaction(RolloutSnapshot snapshot) throws AgreementException {
    AgreementStatus view = agreement.status();
    Unavailability unavailability = observed.read(snapshot.plan().kind(), snapshot.fleet(), view);
    record(snapshot, unavailability);
    RolloutTransaction transaction =
        driver.nextTransaction(
            snapshot, unavailability, agreedVersions(snapshot, view), System.nanoTime());
    logWaitReason();
    return transaction;
  }

  /** Records a point of the time series if one is due; no decision rests on it. */
  private void record(RolloutSnapshot snapshot, Unavailability unavailability)
      throws AgreementException {
    long releaseNumber = snapshot.plan().number();
    if (snapshot.state().isOver()) {
      return;
    }
    if (recorder == null || recorder.releaseNumber() != releaseNumber) {
      recorder = new RolloutRecorder(keys, releaseNumber, rollouts.timeSeries(releaseNumber));
    }
    RolloutTransaction point =
        recorder.nextTransaction(snapshot, unavailability, System.currentTimeMillis());
    if (point != null) {
      store.write(point.storeTransaction());
    }
  }

  /** Read only where a configuration goes with the release; otherwise null. */
  private AgreedVersions agreedVersions(RolloutSnapshot snapshot, AgreementStatus view)
      throws AgreementException {
    if (snapshot.plan().configContent() == null) {
      return null;
    }
    return new AgreedVersions(
        view.snapshot(),
        agreement.nextVersionNumber(),
        view.awaitedMembers(),
        System.currentTimeMillis());
  }

  /** Logs what the release waits for, each time that it is something else. */
  private void logWaitReason() {
    String withoutFigures = driver.waitReason().replaceAll(GROWING_FIGURES, "");
    if (!withoutFigures.equals(loggedWaitReason) && !withoutFigures.isEmpty()) {
      AgentStore.log("waits: " + driver.waitReason());
    }
    loggedWaitReason = withoutFigures;
  }
}
