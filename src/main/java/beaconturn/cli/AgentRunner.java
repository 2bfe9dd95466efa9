package beaconturn.cli;

import beaconturn.agreement.AgreementTiming;
import beaconturn.agreement.CoordinationStore;
import beaconturn.net.ConfigException;
import beaconturn.net.agreement.AgreementConfig;
import beaconturn.net.agreement.StoreClient;
import beaconturn.release.InstanceVariant;
import beaconturn.release.RolloutAgent;
import beaconturn.release.RolloutKeys;
import beaconturn.release.RolloutPlan;
import beaconturn.release.RolloutSnapshot;
import beaconturn.release.RolloutTransaction;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.function.UnaryOperator;

/**
 * The agent of one instance, a process beside it: carries out the steps of its instance, reports
 * its metrics, and stands by to drive the release. It runs until it is interrupted; an instance
 * that is out then stays out. All of it but the action runs in the calling thread.
 */
final class AgentRunner {
  private static final int WRONG = 1;
  private static final long ROUND_INTERVAL_MILLIS = 200;
  private final String featuresFile;
  private final String instanceId;
  private final InstanceMetricsReader metricsReader;
  private final UnaryOperator<CoordinationStore> storeWrapper;
  private final InstanceAction action;
  private final String incarnation =
      Long.toHexString(System.currentTimeMillis()) + "-" + ProcessHandle.current().pid();
  private AgentStore store;
  private AgentLease lease;
  private RolloutAgent agent;
  private AgentDriver driver;
  private AgentMetricsReporter metricsReporter;

  /** The plan as read last, or null. */
  private RolloutPlan plan;

  /** An agent; it reports no metrics where the reader is null. */
  AgentRunner(
      String featuresFile, String instanceId, String command, InstanceMetricsReader metricsReader) {
    this(featuresFile, instanceId, command, metricsReader, UnaryOperator.identity());
  }

  /** An agent whose calls to the store go through a wrapper, for tests that inject a defect. */
  AgentRunner(
      String featuresFile,
      String instanceId,
      String command,
      InstanceMetricsReader metricsReader,
      UnaryOperator<CoordinationStore> storeWrapper) {
    this.featuresFile = featuresFile;
    this.instanceId = instanceId;
    this.metricsReader = metricsReader;
    this.storeWrapper = storeWrapper;
    this.action = new InstanceAction(instanceId, command);
  }

  /** Runs until the thread is interrupted; the exit status. */
  int run() {
    Logging.start();
    try {
      connect(FeaturesFile.required(featuresFile));
      AgentStore.log("agent of " + instanceId + " as " + incarnation);
      while (true) {
        round();
        Thread.sleep(ROUND_INTERVAL_MILLIS);
      }
    } catch (ConfigException e) {
      System.err.println("release agent: " + e.getMessage());
      return WRONG;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return WRONG;
    }
  }

  private void connect(AgreementConfig config) {
    AgreementTiming timing = config.timing();
    RolloutKeys keys = new RolloutKeys(config.fleet());
    CoordinationStore calls =
        storeWrapper.apply(new StoreClient(config.endpoints(), timing.requestTimeoutNanos()));
    store = new AgentStore(calls, keys);
    lease = new AgentLease(calls, timing.storeLeaseSeconds(), timing.renewIntervalNanos());
    driver = new AgentDriver(keys, calls, store, incarnation);
    agent =
        new RolloutAgent(
            keys, instanceId, incarnation, timing.requestTimeoutNanos(), AgentRunner::now);
    if (metricsReader != null) {
      metricsReporter = new AgentMetricsReporter(metricsReader, store, keys, instanceId);
    }
  }

  /** Time of history lines, by the wall clock of this machine; no decision rests on it. */
  static String now() {
    return Instant.now().truncatedTo(ChronoUnit.MILLIS).toString();
  }

  private void round() {
    takeActionOutcome();
    lease.renew();
    RolloutSnapshot snapshot = store.read();
    if (snapshot == null) {
      startAction(agent.unreachableStoreRollback(plan, System.nanoTime()));
      return;
    }
    plan = snapshot.plan();
    if (metricsReporter != null) {
      metricsReporter.report(snapshot, lease.id());
    }
    act(snapshot);
    driver.drive(snapshot, lease);
  }

  private void takeActionOutcome() {
    String outcome = action.takeOutcome();
    if (outcome == null) {
      return;
    }
    boolean ready = outcome.isEmpty();
    agent.actionEnded(ready, outcome, System.nanoTime());
    AgentStore.log(instanceId + (ready ? " is ready" : " is not ready: " + outcome));
  }

  private void act(RolloutSnapshot snapshot) {
    RolloutTransaction acquire = lease.isHeld() ? agent.acquireLease(snapshot, lease.id()) : null;
    if (acquire != null) {
      store.execute(acquire);
      return;
    }
    RolloutTransaction next = agent.nextTransaction(snapshot, System.nanoTime());
    if (next != null) {
      boolean held = store.execute(next);
      startAction(agent.transactionAnswered(held, System.nanoTime()));
    }
  }

  private void startAction(InstanceVariant variant) {
    if (variant != null) {
      action.start(variant, plan == null ? 0 : plan.readyTimeoutNanos());
    }
  }
}
