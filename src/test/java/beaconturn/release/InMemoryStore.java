package beaconturn.release;

import beaconturn.agreement.AgreementException;
import beaconturn.agreement.CoordinationStore;
import beaconturn.agreement.StoreRequest;
import beaconturn.agreement.StoreResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Predicate;

/** In-memory coordination store with conditional transactions and revisions. */
final class InMemoryStore implements CoordinationStore {
  static final RolloutKeys KEYS = new RolloutKeys("/f");
  private final SortedMap<String, StoreResponse.Entry> entries = new TreeMap<>();
  private long revision = 1;
  String clusterId = "1";

  /** Selects keys whose conditions are not checked, to inject a defect. */
  Predicate<String> uncheckedKeys = key -> false;

  @Override
  public StoreResponse ask(StoreRequest request) {
    if (request instanceof StoreRequest.Read read) {
      return new StoreResponse.Success(
          true,
          clusterId,
          revision,
          new ArrayList<>(entries.subMap(read.prefix(), read.prefix() + "\uffff").values()),
          0,
          0);
    }
    StoreRequest.Transaction transaction = (StoreRequest.Transaction) request;
    boolean held = transaction.conditions().stream().allMatch(this::holds);
    if (held && !transaction.changes().isEmpty()) {
      revision++;
      transaction.changes().forEach(this::change);
    }
    return new StoreResponse.Success(held, clusterId, revision, List.of(), 0, 0);
  }

  boolean commits(RolloutTransaction transaction) {
    return ((StoreResponse.Success) ask(transaction.storeTransaction())).conditionsHeld();
  }

  private boolean holds(StoreRequest.Condition condition) {
    StoreRequest.Condition.Unchanged unchanged = (StoreRequest.Condition.Unchanged) condition;
    StoreResponse.Entry entry = entries.get(unchanged.key());
    return uncheckedKeys.test(unchanged.key())
        || (entry == null ? 0 : entry.modRevision()) == unchanged.modRevision();
  }

  private void change(StoreRequest.Change change) {
    if (change instanceof StoreRequest.Change.Put put) {
      entries.put(
          put.key(),
          new StoreResponse.Entry(put.key(), put.value(), revision, revision, put.leaseId()));
    } else {
      entries.remove(((StoreRequest.Change.Delete) change).key());
    }
  }

  RolloutSnapshot snapshot() {
    try {
      return RolloutSnapshot.of(
          KEYS, (StoreResponse.Success) ask(new StoreRequest.Read(KEYS.prefix())));
    } catch (AgreementException e) {
      throw new IllegalStateException(e);
    }
  }

  void expireAgentLease(String instanceId) {
    ask(
        new StoreRequest.Transaction(
            List.of(), List.of(new StoreRequest.Change.Delete(KEYS.agent(instanceId)))));
  }

  /** Creates an agent, which acquires the lease of its instance if that is free. */
  RolloutAgent agent(String instanceId, String incarnation, long callTimeoutNanos) {
    RolloutAgent agent =
        new RolloutAgent(KEYS, instanceId, incarnation, callTimeoutNanos, () -> "");
    RolloutTransaction lease = agent.acquireLease(snapshot(), 1);
    if (lease != null) {
      commits(lease);
    }
    return agent;
  }

  void expireDriverLease() {
    ask(
        new StoreRequest.Transaction(
            List.of(), List.of(new StoreRequest.Change.Delete(KEYS.driver()))));
  }

  /** Reports the response counts of an instance. */
  void reportResponses(String instanceId, long served, long failed) {
    reportResponses(instanceId, "", served, failed);
  }

  /** Reports the response counts of a process of an instance. */
  void reportResponses(String instanceId, String process, long served, long failed) {
    ask(
        new StoreRequest.Transaction(
            List.of(),
            List.of(
                new StoreRequest.Change.Put(
                    KEYS.sample(instanceId),
                    RolloutCodec.encode(InstanceSample.ofResponses(process, served, failed)),
                    0))));
  }

  /** Returns all keys and values, without revisions and history. */
  String contentWithoutHistory() {
    StringBuilder text = new StringBuilder();
    entries.values().stream()
        .filter(
            entry ->
                !entry.key().startsWith(KEYS.history())
                    && !entry.key().equals(KEYS.historyLength()))
        .forEach(entry -> text.append(entry.key()).append('=').append(entry.value()).append('\n'));
    return text.toString();
  }

  RolloutAdmin admin() {
    return new RolloutAdmin(KEYS, this, "op", () -> "");
  }

  DisruptionPermitAdmin permits() {
    return new DisruptionPermitAdmin(KEYS, this, "op", () -> "");
  }

  /** Creates a store with four routers in two zones and a disruption budget. */
  static InMemoryStore withRouters(int maxUnavailable, int maxUnavailablePerZone)
      throws AgreementException {
    InMemoryStore store = new InMemoryStore();
    store
        .admin()
        .defineFleet(
            new ReleaseFleet(
                Map.of(
                    InstanceKind.ROUTER,
                    new ReleaseFleet.Group(
                        maxUnavailable,
                        maxUnavailablePerZone,
                        new TreeMap<>(
                            Map.of("east", List.of("r1", "r2"), "west", List.of("r3", "r4")))))));
    return store;
  }

  /** Starts a release without a soak. */
  InMemoryStore startRelease(int minResponses, List<List<String>> waves) throws AgreementException {
    admin()
        .start(
            new RolloutPlan(
                0,
                InstanceKind.ROUTER,
                waves,
                0,
                minResponses,
                RegressionBounds.ofFailedShare(0.1),
                1,
                0,
                "why",
                null,
                ""));
    return this;
  }
}
