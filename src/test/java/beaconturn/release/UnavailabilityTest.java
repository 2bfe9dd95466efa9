package beaconturn.release;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beaconturn.agreement.AgreementException;
import beaconturn.agreement.EndpointView;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** Unavailability as routers observe it, and releases of cache servers that rest on it. */
class UnavailabilityTest {
  private static final ReleaseFleet.Group CACHES =
      new ReleaseFleet.Group(1, 1, new TreeMap<>(Map.of("east", List.of("c1", "c2"))));
  private static final long READY_TIMEOUT = 100;

  /** The view of a router, for instance "c1=0 c2:draining". */
  private static EndpointView view(String words) {
    TreeMap<String, Long> in = new TreeMap<>();
    TreeMap<String, String> out = new TreeMap<>();
    for (String word : words.split(" ")) {
      if (word.contains("=")) {
        in.put(word.split("=")[0], Long.parseLong(word.split("=")[1]));
      } else if (!word.isEmpty()) {
        out.put(word.split(":")[0], word.split(":")[1]);
      }
    }
    return new EndpointView(in, out);
  }

  private static Unavailability observed(String... views) {
    return Unavailability.ofCaches(
        CACHES, Map.of(), List.of(views).stream().map(UnavailabilityTest::view).toList());
  }

  @Test
  void moreThanHalfOfTheRoutersHaveToUseACacheServer() {
    assertEquals(Map.of(), observed("c1=0 c2=0", "c1=0 c2=0", "c1=0 c2:ejected").reasons());
    assertEquals(
        Map.of("c2", "ejected at 1 of 2 routers"),
        observed("c1=0 c2=0", "c1=0 c2:ejected").reasons());
    assertEquals(
        Map.of("c2", "draining at 2 of 3 routers"),
        observed("c1=0 c2=0", "c1=0 c2:draining", "c1=0 c2:draining").reasons());
    assertEquals(Map.of("c2", "not listed at 1 of 1 routers"), observed("c1=0").reasons());
  }

  /** Silence is not health: where no router reports, no step may take an instance out. */
  @Test
  void withoutAnyWordAllAreOut() {
    assertEquals(Set.of("c1", "c2"), observed().reasons().keySet());
    assertEquals(
        Map.of("c1", "held out by version 3"),
        Unavailability.ofCaches(
                CACHES, Map.of("c1", "held out by version 3"), List.of(view("c1=0 c2=0")))
            .reasons());
  }

  @Test
  void aSightIsReadAsItWasWritten() throws AgreementException {
    EndpointView view = view("c1=1796174364825000000 c2:left-out");
    assertEquals(view, EndpointView.decode(view.encode()));
    assertThrows(AgreementException.class, () -> EndpointView.decode("no sight"));
  }

  private static InMemoryStore caches() throws AgreementException {
    InMemoryStore store = new InMemoryStore();
    store.admin().defineFleet(new ReleaseFleet(Map.of(InstanceKind.CACHE, CACHES)));
    store
        .admin()
        .start(
            new RolloutPlan(
                0,
                InstanceKind.CACHE,
                List.of(List.of("c1", "c2")),
                10,
                0,
                RegressionBounds.ofFailedShare(0),
                READY_TIMEOUT,
                0,
                "why",
                null,
                ""));
    return store;
  }

  private static boolean step(
      InMemoryStore store, RolloutDriver driver, Unavailability observed, long now) {
    RolloutTransaction actOn = driver.nextTransaction(store.snapshot(), observed, now);
    return actOn != null && store.commits(actOn);
  }

  private static void actOn(InMemoryStore store, String id) {
    RolloutAgent agent = store.agent(id, "a", READY_TIMEOUT);
    assertNotNull(
        agent.transactionCompleted(store.commits(agent.nextTransaction(store.snapshot(), 0)), 0));
    agent.actionEnded(true, "", 0);
    assertTrue(store.commits(agent.nextTransaction(store.snapshot(), 0)));
  }

  private static RolloutDriver driver(InMemoryStore store) {
    RolloutDriver driver = new RolloutDriver(InMemoryStore.KEYS, "d1", () -> "");
    assertTrue(store.commits(driver.acquireLease(store.snapshot(), 1)));
    return driver;
  }

  /** What routers report may be of the process before, and then of one that is warming up. */
  @Test
  void theNextCacheServerGoesOnlyOnceTheOneBeforeIsSeenWarm() throws AgreementException {
    InMemoryStore store = caches();
    RolloutDriver driver = driver(store);
    assertTrue(step(store, driver, observed("c1=5 c2=5", "c1=5 c2=5"), 0));
    actOn(store, "c1");
    assertFalse(step(store, driver, observed("c1=5 c2=5", "c1=5 c2=5"), 1));
    assertTrue(driver.waitReason().contains("it waits for c1 (permit 1"), driver.waitReason());
    assertFalse(step(store, driver, observed("c1=5 c2=5", "c1:warming c2=5"), 2));
    assertFalse(
        step(store, driver, observed("c1=9 c2=5", "c1=5 c2=5"), 3), "only one of two has seen it");
    assertFalse(step(store, driver, observed("c1=9 c2=5", "c1=9 c2=5"), 4));
    assertTrue(step(store, driver, observed("c1=9 c2=5", "c1=9 c2=5"), 14), "it has soaked");
    assertTrue(step(store, driver, observed("c1=9 c2=5", "c1=9 c2=5"), 15));
    assertEquals(StepPhase.GRANTED, store.snapshot().steps().get("c2").phase());
  }

  /** A rollback holds its permit too until the restarted server is warm. */
  @Test
  void oneThatIsNotSeenBackInItsTimeTakesTheReleaseBack() throws AgreementException {
    InMemoryStore store = caches();
    RolloutDriver driver = driver(store);
    Unavailability ejected = observed("c1:ejected c2=5", "c1:ejected c2=5");
    assertTrue(step(store, driver, observed("c1=5 c2=5"), 0));
    actOn(store, "c1");
    assertFalse(step(store, driver, ejected, 1));
    assertFalse(step(store, driver, ejected, 1 + READY_TIMEOUT));
    assertTrue(step(store, driver, ejected, 2 + READY_TIMEOUT));
    assertEquals(
        "c1 does worse: not seen back: ejected at 2 of 2 routers",
        store.snapshot().state().reason());
    assertTrue(step(store, driver, ejected, 3 + READY_TIMEOUT));
    actOn(store, "c1");
    assertFalse(step(store, driver, observed("c1:warming c2=5"), 4 + READY_TIMEOUT));
    assertEquals("c1 is not seen back: warming at 1 of 1 routers", driver.waitReason());
    assertEquals(1, store.snapshot().permits().size());
    assertTrue(step(store, driver, observed("c1=9 c2=5"), 5 + READY_TIMEOUT));
    assertTrue(store.snapshot().permits().isEmpty());
  }

  /**
   * Harm may show only after the check; where unchanged servers are ejected too, the release is not
   * the cause.
   */
  @Test
  void oneThatIsEjectedAfterItsCheckTakesTheReleaseBack() throws AgreementException {
    InMemoryStore store = caches();
    RolloutDriver driver = driver(store);
    assertTrue(step(store, driver, observed("c1=5 c2=5"), 0));
    actOn(store, "c1");
    assertFalse(step(store, driver, observed("c1=9 c2=5"), 4));
    assertTrue(step(store, driver, observed("c1=9 c2=5"), 14), "it has stood the check");
    assertFalse(step(store, driver, observed("c1:ejected c2:ejected"), 20));
    assertFalse(step(store, driver, observed("c1:ejected c2:ejected"), 40));
    assertFalse(step(store, driver, observed("c1:ejected c2=5"), 41));
    assertFalse(step(store, driver, observed("c1:ejected c2=5"), 41 + READY_TIMEOUT));
    assertTrue(step(store, driver, observed("c1:ejected c2=5"), 42 + READY_TIMEOUT));
    assertEquals("c1 was ejected after it had stood the check", store.snapshot().state().reason());
  }

  /** A copy of the store that was restored knows nothing of what has gone out since. */
  @Test
  void inAStoreThatWasReplacedNobodyActs() throws AgreementException {
    InMemoryStore store = caches();
    RolloutDriver driver = driver(store);
    assertTrue(step(store, driver, observed("c1=5 c2=5"), 0));
    RolloutAgent agent = store.agent("c1", "a", READY_TIMEOUT);
    store.cluster = "2";
    assertNull(agent.nextTransaction(store.snapshot(), 0));
    assertNull(driver.nextTransaction(store.snapshot(), observed("c1=5 c2=5"), 0));
    assertEquals(RolloutSnapshot.STORE_REPLACED, driver.waitReason());
    assertThrows(AgreementException.class, () -> store.admin().rollBack("no"));
    store.admin().abandon("seen who runs what");
    store
        .admin()
        .start(
            new RolloutPlan(
                0,
                InstanceKind.CACHE,
                List.of(List.of("c1")),
                10,
                0,
                RegressionBounds.ofFailedShare(0),
                READY_TIMEOUT,
                0,
                "why",
                null,
                ""));
    assertFalse(store.snapshot().storeReplaced());
  }
}
