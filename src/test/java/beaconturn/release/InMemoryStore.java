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

/** A store for releases in memory: transactions with their conditions, and a count of revisions. */
final class InMemoryStore implements CoordinationStore {
  static final RolloutKeys KEYS = new RolloutKeys("/f");
  private final SortedMap<String, StoreResponse.Entry> pairs = new TreeMap<>();
  private long revision = 1;
  String cluster = "1";

  /** Keys whose conditions are left out, as a defect that tests must find. */
  Predicate<String> ignores = key -> false;

  @Override
  public StoreResponse ask(StoreRequest call) {
    if (call instanceof StoreRequest.Read read) {
      return new StoreResponse.Success(
          true,
          cluster,
          revision,
          new ArrayList<>(pairs.subMap(read.prefix(), read.prefix() + "\uffff").values()),
          0,
          0);
    }
    StoreRequest.Transaction swap = (StoreRequest.Transaction) call;
    boolean held = swap.conditions().stream().allMatch(this::holds);
    if (held && !swap.changes().isEmpty()) {
      revision++;
      swap.changes().forEach(this::change);
    }
    return new StoreResponse.Success(held, cluster, revision, List.of(), 0, 0);
  }

  boolean commits(RolloutTransaction transaction) {
    return ((StoreResponse.Success) ask(transaction.storeTransaction())).conditionsHeld();
  }

  private boolean holds(StoreRequest.Condition condition) {
    StoreRequest.Condition.Unchanged u = (StoreRequest.Condition.Unchanged) condition;
    StoreResponse.Entry pair = pairs.get(u.key());
    return ignores.test(u.key()) || (pair == null ? 0 : pair.modRevision()) == u.modRevision();
  }

  private void change(StoreRequest.Change change) {
    if (change instanceof StoreRequest.Change.Put put) {
      pairs.put(
          put.key(),
          new StoreResponse.Entry(put.key(), put.value(), revision, revision, put.leaseId()));
    } else {
      pairs.remove(((StoreRequest.Change.Delete) change).key());
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

  /** The lease of an agent has ended. */
  void agentGone(String id) {
    ask(
        new StoreRequest.Transaction(
            List.of(), List.of(new StoreRequest.Change.Delete(KEYS.agent(id)))));
  }

  /** An agent that holds the lease of its instance. */
  RolloutAgent agent(String id, String me, long timeout) {
    RolloutAgent agent = new RolloutAgent(KEYS, id, me, timeout, () -> "");
    RolloutTransaction lease = agent.acquireLease(snapshot(), 1);
    if (lease != null) {
      commits(lease);
    }
    return agent;
  }

  /** The lease of the driver has ended. */
  void driverGone() {
    ask(
        new StoreRequest.Transaction(
            List.of(), List.of(new StoreRequest.Change.Delete(KEYS.driver()))));
  }

  /** What an instance has answered so far. */
  void health(String id, long good, long bad) {
    health(id, "", good, bad);
  }

  /** The same of a process. */
  void health(String id, String process, long good, long bad) {
    ask(
        new StoreRequest.Transaction(
            List.of(),
            List.of(
                new StoreRequest.Change.Put(
                    KEYS.sample(id),
                    RolloutCodec.encode(InstanceSample.ofResponses(process, good, bad)),
                    0))));
  }

  /** All values without revisions and history. */
  String text() {
    StringBuilder out = new StringBuilder();
    pairs.values().stream()
        .filter(p -> !p.key().startsWith(KEYS.history()) && !p.key().equals(KEYS.historyLength()))
        .forEach(p -> out.append(p.key()).append('=').append(p.value()).append('\n'));
    return out.toString();
  }

  RolloutAdmin admin() {
    return new RolloutAdmin(KEYS, this, "op", () -> "");
  }

  DisruptionPermitAdmin permits() {
    return new DisruptionPermitAdmin(KEYS, this, "op", () -> "");
  }

  /** Four routers in two zones, of which so many may be out. */
  static InMemoryStore with(int mostOut, int ofSite) throws AgreementException {
    InMemoryStore store = new InMemoryStore();
    store
        .admin()
        .defineFleet(
            new ReleaseFleet(
                Map.of(
                    InstanceKind.ROUTER,
                    new ReleaseFleet.Group(
                        mostOut,
                        ofSite,
                        new TreeMap<>(
                            Map.of("east", List.of("r1", "r2"), "west", List.of("r3", "r4")))))));
    return store;
  }

  /** Begins a release in these waves, watched for no time and compared by so many answers. */
  InMemoryStore begin(int samples, List<List<String>> waves) throws AgreementException {
    admin()
        .start(
            new RolloutPlan(
                0,
                InstanceKind.ROUTER,
                waves,
                0,
                samples,
                RegressionBounds.ofFailedShare(0.1),
                1,
                0,
                "why",
                null,
                ""));
    return this;
  }
}
