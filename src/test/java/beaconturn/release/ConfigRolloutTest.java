package beaconturn.release;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beaconturn.agreement.AgreementException;
import beaconturn.agreement.AgreementKeys;
import beaconturn.agreement.AgreementSnapshot;
import beaconturn.agreement.ConfigAdmin;
import beaconturn.agreement.ConfigContent;
import beaconturn.agreement.StoreRequest;
import beaconturn.agreement.StoreResponse;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Configuration that comes into force with a release, and is reverted with it. */
class ConfigRolloutTest {
  private static final AgreementKeys KEYS = new AgreementKeys("/f");
  private static final ConfigContent TWO_ATTEMPTS =
      new ConfigContent(new TreeMap<>(), 2, null, 0, new TreeSet<>());
  private final RolloutDriver driver = new RolloutDriver(InMemoryStore.KEYS, "d1", () -> "");
  private InMemoryStore store;
  private ConfigAdmin agreement;

  @BeforeEach
  void begin() throws AgreementException {
    store = InMemoryStore.with(1, 1);
    agreement = new ConfigAdmin(KEYS, store);
    agreement.begin("i");
    long drained =
        agreement.propose(
            now -> new ConfigContent(now.classes(), 3, null, 0, new TreeSet<>(List.of("c1"))),
            "op",
            "drained",
            0);
    settle(drained);
    store
        .admin()
        .start(
            new RolloutPlan(
                0,
                InstanceKind.ROUTER,
                List.of(List.of("r1")),
                0,
                0,
                RegressionBounds.ofFailedShare(0),
                1,
                0,
                "why",
                TWO_ATTEMPTS,
                ""));
    assertTrue(store.commits(driver.acquireLease(store.snapshot(), 1)));
  }

  private AgreementSnapshot seen() throws AgreementException {
    return AgreementSnapshot.of(
        KEYS, (StoreResponse.Success) store.ask(new StoreRequest.Read(KEYS.commonPrefix())));
  }

  /** All routers act on what is proposed. */
  private void settle(long number) throws AgreementException {
    String next =
        ((StoreResponse.Success) store.ask(new StoreRequest.Read(KEYS.commonPrefix() + "next")))
            .entries()
            .get(0)
            .value();
    store.ask(
        new StoreRequest.Transaction(
            List.of(),
            List.of(
                new StoreRequest.Change.Put(KEYS.commonPrefix() + "current", next, 0),
                new StoreRequest.Change.Delete(KEYS.commonPrefix() + "next"),
                new StoreRequest.Change.Put(
                    KEYS.commonPrefix() + "settled", Long.toString(number), 0))));
  }

  private String drive() throws AgreementException {
    AgreedVersions agreed =
        new AgreedVersions(seen(), agreement.nextVersionNumber(), List.of("r9"), 0);
    RolloutTransaction transaction =
        driver.nextTransaction(store.snapshot(), Unavailability.of(Map.of()), agreed, 0);
    if (transaction == null) {
      return "waits: " + driver.waitReason();
    }
    assertTrue(store.commits(transaction), transaction.description());
    return transaction.description();
  }

  @Test
  void theyComeIntoForceBeforeAnyPartGoesOut() throws AgreementException {
    assertEquals("its settings: version 2 is proposed", drive());
    assertEquals("waits: version 2 of its settings waits for r9", drive());
    settle(2);
    assertEquals(2, seen().current().content().maxAttempts());
    assertEquals(
        List.of("c1"), List.copyOf(seen().current().content().excludedServers()), "a drain stays");
    assertTrue(drive().startsWith("r1 goes out under permit 1"));
  }

  /** What was drained meanwhile stays so; the rest of the configuration is that of before. */
  @Test
  void theyGoBackOnceNoPartRunsWhatWasReleased() throws AgreementException {
    drive();
    settle(2);
    drive();
    long drained =
        agreement.propose(
            now ->
                new ConfigContent(
                    now.classes(), now.maxAttempts(), null, 0, new TreeSet<>(List.of("c1", "c2"))),
            "op",
            "drained too",
            0);
    settle(drained);
    store.admin().rollBack("harms");
    assertTrue(drive().startsWith("r1 was not begun"));
    assertEquals("its settings: version 4 is proposed", drive());
    assertEquals("waits: version 4, its settings of before, waits for r9", drive());
    settle(4);
    assertEquals(3, seen().current().content().maxAttempts());
    assertEquals(List.of("c1", "c2"), List.copyOf(seen().current().content().excludedServers()));
    assertEquals("all parts run again what they ran before", drive());
  }

  @Test
  void oneThatIsTurnedDownTakesTheReleaseBackAndNeedsNoWayBack() throws AgreementException {
    drive();
    agreement.withdraw("a router cannot follow");
    assertEquals("goes back: its settings, version 2, were turned down", drive());
    assertEquals("its settings never came into force", drive());
    assertEquals("all parts run again what they ran before", drive());
    assertEquals(1, seen().current().number());
  }

  /** The proposal is one transaction with the driver's own conditions. */
  @Test
  void aDriverThatWasReplacedProposesNothing() throws AgreementException {
    RolloutTransaction transaction =
        driver.nextTransaction(
            store.snapshot(),
            Unavailability.of(Map.of()),
            new AgreedVersions(seen(), 2, List.of(), 0),
            0);
    store.driverGone();
    assertFalse(store.commits(transaction));
    assertEquals(0, seen().proposedNumber());
    assertNull(driver.nextTransaction(store.snapshot(), Unavailability.of(Map.of()), null, 0));
  }
}
