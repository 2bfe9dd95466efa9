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

/** Who counts as out by what routers see, and releases of cache servers that rest on it. */
class UnavailabilityTest {
  private static final ReleaseFleet.Group CACHES =
      new ReleaseFleet.Group(1, 1, new TreeMap<>(Map.of("east", List.of("c1", "c2"))));
  private static final long LIMIT = 100;

  /** A router's sight, for instance "c1=0 c2:draining". */
  private static EndpointView sight(String words) {
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

  private static Unavailability seen(String... sights) {
    return Unavailability.ofCaches(
        CACHES, Map.of(), List.of(sights).stream().map(UnavailabilityTest::sight).toList());
  }

  @Test
  void moreThanHalfOfTheRoutersHaveToUseACacheServer() {
    assertEquals(Map.of(), seen("c1=0 c2=0", "c1=0 c2=0", "c1=0 c2:ejected").reasons());
    assertEquals(
        Map.of("c2", "ejected at 1 of 2 routers"), seen("c1=0 c2=0", "c1=0 c2:ejected").reasons());
    assertEquals(
        Map.of("c2", "draining at 2 of 3 routers"),
        seen("c1=0 c2=0", "c1=0 c2:draining", "c1=0 c2:draining").reasons());
    assertEquals(Map.of("c2", "not listed at 1 of 1 routers"), seen("c1=0").reasons());
  }

  /**
   * Silence is no health: with nobody to vouch for the others no step may take the last one out.
   */
  @Test
  void withoutAnyWordAllAreOut() {
    assertEquals(Set.of("c1", "c2"), seen().reasons().keySet());
    assertEquals(
        Map.of("c1", "held out by version 3"),
        Unavailability.ofCaches(
                CACHES, Map.of("c1", "held out by version 3"), List.of(sight("c1=0 c2=0")))
            .reasons());
  }

  @Test
  void aSightIsReadAsItWasWritten() throws AgreementException {
    EndpointView sight = sight("c1=1796174364825000000 c2:left-out");
    assertEquals(sight, EndpointView.decode(sight.encode()));
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
                RegressionBounds.ofFailed(0),
                LIMIT,
                0,
                "why",
                null,
                ""));
    return store;
  }

  private static boolean step(
      InMemoryStore store, RolloutDriver driver, Unavailability seen, long now) {
    RolloutTransaction act = driver.nextTransaction(store.snapshot(), seen, now);
    return act != null && store.commits(act);
  }

  private static void act(InMemoryStore store, String id) {
    RolloutAgent agent = store.agent(id, "a", LIMIT);
    assertNotNull(
        agent.transactionAnswered(store.commits(agent.nextTransaction(store.snapshot(), 0)), 0));
    agent.actionEnded(true, "", 0);
    assertTrue(store.commits(agent.nextTransaction(store.snapshot(), 0)));
  }

  private static RolloutDriver driver(InMemoryStore store) {
    RolloutDriver driver = new RolloutDriver(InMemoryStore.KEYS, "d1", () -> "");
    assertTrue(store.commits(driver.acquireLease(store.snapshot(), 1)));
    return driver;
  }

  /** What routers tell may still be of the process before, and then of one that is cold. */
  @Test
  void theNextCacheServerGoesOnlyOnceTheOneBeforeIsSeenWarm() throws AgreementException {
    InMemoryStore store = caches();
    RolloutDriver driver = driver(store);
    assertTrue(step(store, driver, seen("c1=5 c2=5", "c1=5 c2=5"), 0));
    act(store, "c1");
    assertFalse(step(store, driver, seen("c1=5 c2=5", "c1=5 c2=5"), 1));
    assertTrue(driver.waitReason().contains("it waits for c1 (permit 1"), driver.waitReason());
    assertFalse(step(store, driver, seen("c1=5 c2=5", "c1:warming c2=5"), 2));
    assertFalse(
        step(store, driver, seen("c1=9 c2=5", "c1=5 c2=5"), 3), "only one of two has seen it");
    assertFalse(step(store, driver, seen("c1=9 c2=5", "c1=9 c2=5"), 4));
    assertTrue(step(store, driver, seen("c1=9 c2=5", "c1=9 c2=5"), 14), "it has soaked");
    assertTrue(step(store, driver, seen("c1=9 c2=5", "c1=9 c2=5"), 15));
    assertEquals(StepPhase.GRANTED, store.snapshot().steps().get("c2").phase());
  }

  /** The way back holds its place too until what it restarted is warm. */
  @Test
  void oneThatIsNotSeenBackInItsTimeTakesTheReleaseBack() throws AgreementException {
    InMemoryStore store = caches();
    RolloutDriver driver = driver(store);
    Unavailability ejected = seen("c1:ejected c2=5", "c1:ejected c2=5");
    assertTrue(step(store, driver, seen("c1=5 c2=5"), 0));
    act(store, "c1");
    assertFalse(step(store, driver, ejected, 1));
    assertFalse(step(store, driver, ejected, 1 + LIMIT));
    assertTrue(step(store, driver, ejected, 2 + LIMIT));
    assertEquals(
        "c1 does worse: not seen back: ejected at 2 of 2 routers",
        store.snapshot().state().reason());
    assertTrue(step(store, driver, ejected, 3 + LIMIT));
    act(store, "c1");
    assertFalse(step(store, driver, seen("c1:warming c2=5"), 4 + LIMIT));
    assertEquals("c1 is not seen back: warming at 1 of 1 routers", driver.waitReason());
    assertEquals(1, store.snapshot().permits().size());
    assertTrue(step(store, driver, seen("c1=9 c2=5"), 5 + LIMIT));
    assertTrue(store.snapshot().permits().isEmpty());
  }

  /**
   * A check can be shorter than it takes to see what harms; trouble that all have is not the
   * release's.
   */
  @Test
  void oneThatIsEjectedAfterItsCheckTakesTheReleaseBack() throws AgreementException {
    InMemoryStore store = caches();
    RolloutDriver driver = driver(store);
    assertTrue(step(store, driver, seen("c1=5 c2=5"), 0));
    act(store, "c1");
    assertFalse(step(store, driver, seen("c1=9 c2=5"), 4));
    assertTrue(step(store, driver, seen("c1=9 c2=5"), 14), "it has stood the check");
    assertFalse(step(store, driver, seen("c1:ejected c2:ejected"), 20));
    assertFalse(step(store, driver, seen("c1:ejected c2:ejected"), 40));
    assertFalse(step(store, driver, seen("c1:ejected c2=5"), 41));
    assertFalse(step(store, driver, seen("c1:ejected c2=5"), 41 + LIMIT));
    assertTrue(step(store, driver, seen("c1:ejected c2=5"), 42 + LIMIT));
    assertEquals("c1 was ejected after it had stood the check", store.snapshot().state().reason());
  }

  /** A copy of the store that was put back knows nothing of what has gone out since. */
  @Test
  void inAStoreThatWasReplacedNobodyActs() throws AgreementException {
    InMemoryStore store = caches();
    RolloutDriver driver = driver(store);
    assertTrue(step(store, driver, seen("c1=5 c2=5"), 0));
    RolloutAgent agent = store.agent("c1", "a", LIMIT);
    store.cluster = "2";
    assertNull(agent.nextTransaction(store.snapshot(), 0));
    assertNull(driver.nextTransaction(store.snapshot(), seen("c1=5 c2=5"), 0));
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
                RegressionBounds.ofFailed(0),
                LIMIT,
                0,
                "why",
                null,
                ""));
    assertFalse(store.snapshot().storeReplaced());
  }
}
