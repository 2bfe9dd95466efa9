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

/** Tests of unavailability as reported by routers, and of releases of cache servers based on it. */
class UnavailabilityTest {
  private static final ReleaseFleet.Group CACHES =
      new ReleaseFleet.Group(1, 1, new TreeMap<>(Map.of("east", List.of("c1", "c2"))));
  private static final long READY_TIMEOUT_NANOS = 100;

  /** Parses the view of a router, such as {@code c1=0 c2:draining}. */
  private static EndpointView view(String text) {
    TreeMap<String, Long> usable = new TreeMap<>();
    TreeMap<String, String> unusable = new TreeMap<>();
    for (String server : text.split(" ")) {
      if (server.contains("=")) {
        usable.put(server.split("=")[0], Long.parseLong(server.split("=")[1]));
      } else if (!server.isEmpty()) {
        unusable.put(server.split(":")[0], server.split(":")[1]);
      }
    }
    return new EndpointView(usable, unusable);
  }

  private static Unavailability observed(String... views) {
    return Unavailability.ofCaches(
        CACHES, Map.of(), List.of(views).stream().map(UnavailabilityTest::view).toList());
  }

  @Test
  void cacheServerIsAvailableIfMostRoutersUseIt() {
    assertEquals(Map.of(), observed("c1=0 c2=0", "c1=0 c2=0", "c1=0 c2:ejected").reasons());
    assertEquals(
        Map.of("c2", "ejected at 1 of 2 routers"),
        observed("c1=0 c2=0", "c1=0 c2:ejected").reasons());
    assertEquals(
        Map.of("c2", "draining at 2 of 3 routers"),
        observed("c1=0 c2=0", "c1=0 c2:draining", "c1=0 c2:draining").reasons());
    assertEquals(Map.of("c2", "not listed at 1 of 1 routers"), observed("c1=0").reasons());
  }

  /** Without reports no step may take an instance out of service. */
  @Test
  void allCacheServersAreUnavailableWithoutReports() {
    assertEquals(Set.of("c1", "c2"), observed().reasons().keySet());
    assertEquals(
        Map.of("c1", "held out by version 3"),
        Unavailability.ofCaches(
                CACHES, Map.of("c1", "held out by version 3"), List.of(view("c1=0 c2=0")))
            .reasons());
  }

  @Test
  void endpointViewSurvivesARoundTrip() throws AgreementException {
    EndpointView view = view("c1=1796174364825000000 c2:left-out");
    assertEquals(view, EndpointView.decode(view.encode()));
    assertThrows(AgreementException.class, () -> EndpointView.decode("no sight"));
  }

  private static InMemoryStore storeWithCacheRelease() throws AgreementException {
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
                READY_TIMEOUT_NANOS,
                0,
                "why",
                null,
                ""));
    return store;
  }

  /** Executes the driver's next transaction; false if the driver waits. */
  private static boolean drive(
      InMemoryStore store, RolloutDriver driver, Unavailability observed, long nowNanos) {
    RolloutTransaction transaction = driver.nextTransaction(store.snapshot(), observed, nowNanos);
    return transaction != null && store.commits(transaction);
  }

  /** Executes the step of an instance by its agent. */
  private static void executeStep(InMemoryStore store, String instanceId) {
    RolloutAgent agent = store.agent(instanceId, "a", READY_TIMEOUT_NANOS);
    assertNotNull(
        agent.transactionCompleted(store.commits(agent.nextTransaction(store.snapshot(), 0)), 0));
    agent.actionEnded(true, "", 0);
    assertTrue(store.commits(agent.nextTransaction(store.snapshot(), 0)));
  }

  private static RolloutDriver startDriver(InMemoryStore store) {
    RolloutDriver driver = new RolloutDriver(InMemoryStore.KEYS, "d1", () -> "");
    assertTrue(store.commits(driver.acquireLease(store.snapshot(), 1)));
    return driver;
  }

  /** Routers may still report the previous process, and then a process that is warming up. */
  @Test
  void nextStepStartsAfterTheRestartedCacheServerIsReportedWarm() throws AgreementException {
    InMemoryStore store = storeWithCacheRelease();
    RolloutDriver driver = startDriver(store);
    assertTrue(drive(store, driver, observed("c1=5 c2=5", "c1=5 c2=5"), 0));
    executeStep(store, "c1");
    assertFalse(drive(store, driver, observed("c1=5 c2=5", "c1=5 c2=5"), 1));
    assertTrue(driver.waitReason().contains("waiting for c1 (permit 1"), driver.waitReason());
    assertFalse(drive(store, driver, observed("c1=5 c2=5", "c1:warming c2=5"), 2));
    assertFalse(
        drive(store, driver, observed("c1=9 c2=5", "c1=5 c2=5"), 3),
        "only one of two routers reports the new start");
    assertFalse(drive(store, driver, observed("c1=9 c2=5", "c1=9 c2=5"), 4));
    assertTrue(drive(store, driver, observed("c1=9 c2=5", "c1=9 c2=5"), 14), "the soak is over");
    assertTrue(drive(store, driver, observed("c1=9 c2=5", "c1=9 c2=5"), 15));
    assertEquals(StepPhase.GRANTED, store.snapshot().steps().get("c2").phase());
  }

  /** During the rollback too, the permit is held until the restarted server is warm. */
  @Test
  void rollsBackWhenARestartedCacheServerStaysUnavailable() throws AgreementException {
    InMemoryStore store = storeWithCacheRelease();
    RolloutDriver driver = startDriver(store);
    Unavailability ejected = observed("c1:ejected c2=5", "c1:ejected c2=5");
    assertTrue(drive(store, driver, observed("c1=5 c2=5"), 0));
    executeStep(store, "c1");
    assertFalse(drive(store, driver, ejected, 1));
    assertFalse(drive(store, driver, ejected, 1 + READY_TIMEOUT_NANOS));
    assertTrue(drive(store, driver, ejected, 2 + READY_TIMEOUT_NANOS));
    assertEquals(
        "c1 does worse: not seen back: ejected at 2 of 2 routers",
        store.snapshot().state().reason());
    assertTrue(drive(store, driver, ejected, 3 + READY_TIMEOUT_NANOS));
    executeStep(store, "c1");
    assertFalse(drive(store, driver, observed("c1:warming c2=5"), 4 + READY_TIMEOUT_NANOS));
    assertEquals("c1 is not back in service: warming at 1 of 1 routers", driver.waitReason());
    assertEquals(1, store.snapshot().permits().size());
    assertTrue(drive(store, driver, observed("c1=9 c2=5"), 5 + READY_TIMEOUT_NANOS));
    assertTrue(store.snapshot().permits().isEmpty());
  }

  /** If an unchanged server is ejected too, the release is not considered the cause. */
  @Test
  void rollsBackWhenAVerifiedCacheServerIsEjected() throws AgreementException {
    InMemoryStore store = storeWithCacheRelease();
    RolloutDriver driver = startDriver(store);
    assertTrue(drive(store, driver, observed("c1=5 c2=5"), 0));
    executeStep(store, "c1");
    assertFalse(drive(store, driver, observed("c1=9 c2=5"), 4));
    assertTrue(drive(store, driver, observed("c1=9 c2=5"), 14), "c1 passes the check");
    assertFalse(drive(store, driver, observed("c1:ejected c2:ejected"), 20));
    assertFalse(drive(store, driver, observed("c1:ejected c2:ejected"), 40));
    assertFalse(drive(store, driver, observed("c1:ejected c2=5"), 41));
    assertFalse(drive(store, driver, observed("c1:ejected c2=5"), 41 + READY_TIMEOUT_NANOS));
    assertTrue(drive(store, driver, observed("c1:ejected c2=5"), 42 + READY_TIMEOUT_NANOS));
    assertEquals("c1 was ejected after it had stood the check", store.snapshot().state().reason());
  }

  /** A restored copy of the store does not hold the permits acquired since. */
  @Test
  void driverAndAgentsDoNotActInAReplacedStore() throws AgreementException {
    InMemoryStore store = storeWithCacheRelease();
    RolloutDriver driver = startDriver(store);
    assertTrue(drive(store, driver, observed("c1=5 c2=5"), 0));
    RolloutAgent agent = store.agent("c1", "a", READY_TIMEOUT_NANOS);
    store.clusterId = "2";
    assertNull(agent.nextTransaction(store.snapshot(), 0));
    assertNull(driver.nextTransaction(store.snapshot(), observed("c1=5 c2=5"), 0));
    assertEquals(RolloutSnapshot.STORE_REPLACED, driver.waitReason());
    assertThrows(AgreementException.class, () -> store.admin().rollBack("no"));
    store.admin().abandon("instances checked");
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
                READY_TIMEOUT_NANOS,
                0,
                "why",
                null,
                ""));
    assertFalse(store.snapshot().storeReplaced());
  }
}
