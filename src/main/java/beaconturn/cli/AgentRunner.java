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
 * Runs the agent of one instance as a process of its own: executes the rollout steps of the
 * instance, reports its metrics and stands by to drive the rollout. Runs until interrupted; an
 * instance that is out of service at that time stays so. Everything but the shell command runs in
 * the calling thread.
 */
final class AgentRunner {
  private static final int EXIT_ERROR = 1;
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

  /** The last plan read from the store, or null. */
  private RolloutPlan plan;

  /** Creates an agent that reports no metrics if the reader is null. */
  AgentRunner(
      String featuresFile, String instanceId, String command, InstanceMetricsReader metricsReader) {
    this(featuresFile, instanceId, command, metricsReader, UnaryOperator.identity());
  }

  /** Creates an agent whose store calls go through a wrapper, for tests that inject a defect. */
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

  /** Runs until the thread is interrupted and returns the exit status. */
  int run() {
    Logging.start();
    try {
      connect(FeaturesFile.requiredAgreement(featuresFile));
      AgentStore.log("agent of " + instanceId + " starts with incarnation " + incarnation);
      while (true) {
        runOnce();
        Thread.sleep(ROUND_INTERVAL_MILLIS);
      }
    } catch (ConfigException e) {
      System.err.println("release agent: " + e.getMessage());
      return EXIT_ERROR;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return EXIT_ERROR;
    }
  }

  private void connect(AgreementConfig config) {
    AgreementTiming timing = config.timing();
    RolloutKeys keys = new RolloutKeys(config.fleet());
    CoordinationStore storeClient =
        storeWrapper.apply(new StoreClient(config.endpoints(), timing.requestTimeoutNanos()));
    store = new AgentStore(storeClient, keys);
    lease = new AgentLease(storeClient, timing.storeLeaseSeconds(), timing.renewIntervalNanos());
    driver = new AgentDriver(keys, storeClient, store, incarnation);
    agent =
        new RolloutAgent(
            keys, instanceId, incarnation, timing.requestTimeoutNanos(), AgentRunner::now);
    if (metricsReader != null) {
      metricsReporter = new AgentMetricsReporter(metricsReader, store, keys, instanceId);
    }
  }

  /** The wall clock time for history entries; decisions do not depend on it. */
  static String now() {
    return Instant.now().truncatedTo(ChronoUnit.MILLIS).toString();
  }

  private void runOnce() {
    takeActionOutcome();
    lease.renew();
    RolloutSnapshot snapshot = store.read();
    if (snapshot == null) {
      startAction(agent.startSelfRollback(plan, System.nanoTime()));
      return;
    }
    plan = snapshot.plan();
    if (metricsReporter != null) {
      metricsReporter.report(snapshot, lease.id());
    }
    advanceStep(snapshot);
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

  private void advanceStep(RolloutSnapshot snapshot) {
    RolloutTransaction acquisition =
        lease.isHeld() ? agent.acquireLease(snapshot, lease.id()) : null;
    if (acquisition != null) {
      store.execute(acquisition);
      return;
    }
    RolloutTransaction stepTransaction = agent.nextTransaction(snapshot, System.nanoTime());
    if (stepTransaction != null) {
      boolean committed = store.execute(stepTransaction);
      startAction(agent.transactionCompleted(committed, System.nanoTime()));
    }
  }

  private void startAction(InstanceVariant variant) {
    if (variant != null) {
      action.start(variant, plan == null ? 0 : plan.readyTimeoutNanos());
    }
  }
}
