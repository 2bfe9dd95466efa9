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

/** Tests of the configuration version that takes effect with a release and is reverted with it. */
class ConfigRolloutTest {
  private static final AgreementKeys KEYS = new AgreementKeys("/f");
  private static final ConfigContent MAX_TWO_ATTEMPTS =
      new ConfigContent(new TreeMap<>(), 2, null, 0, new TreeSet<>());
  private final RolloutDriver driver = new RolloutDriver(InMemoryStore.KEYS, "d1", () -> "");
  private InMemoryStore store;
  private ConfigAdmin configAdmin;

  @BeforeEach
  void startRelease() throws AgreementException {
    store = InMemoryStore.withRouters(1, 1);
    configAdmin = new ConfigAdmin(KEYS, store);
    configAdmin.begin("i");
    long drained =
        configAdmin.propose(
            current ->
                new ConfigContent(current.classes(), 3, null, 0, new TreeSet<>(List.of("c1"))),
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
                MAX_TWO_ATTEMPTS,
                ""));
    assertTrue(store.commits(driver.acquireLease(store.snapshot(), 1)));
  }

  private AgreementSnapshot agreementSnapshot() throws AgreementException {
    return AgreementSnapshot.of(
        KEYS, (StoreResponse.Success) store.ask(new StoreRequest.Read(KEYS.commonPrefix())));
  }

  /** Settles the proposed version, as if all routers acted on it. */
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
        new AgreedVersions(agreementSnapshot(), configAdmin.nextVersionNumber(), List.of("r9"), 0);
    RolloutTransaction transaction =
        driver.nextTransaction(store.snapshot(), Unavailability.of(Map.of()), agreed, 0);
    if (transaction == null) {
      return "waits: " + driver.waitReason();
    }
    assertTrue(store.commits(transaction), transaction.description());
    return transaction.description();
  }

  @Test
  void configurationTakesEffectBeforeTheFirstStep() throws AgreementException {
    assertEquals("its settings: version 2 is proposed", drive());
    assertEquals("waits: configuration version 2 of the release waits for r9", drive());
    settle(2);
    assertEquals(2, agreementSnapshot().current().content().maxAttempts());
    assertEquals(
        List.of("c1"),
        List.copyOf(agreementSnapshot().current().content().excludedServers()),
        "an excluded server stays excluded");
    assertTrue(drive().startsWith("r1 goes out under permit 1"));
  }

  /** Servers that were excluded in the meantime stay excluded. */
  @Test
  void configurationIsRevertedAfterAllInstancesAreRolledBack() throws AgreementException {
    drive();
    settle(2);
    drive();
    long drained =
        configAdmin.propose(
            current ->
                new ConfigContent(
                    current.classes(),
                    current.maxAttempts(),
                    null,
                    0,
                    new TreeSet<>(List.of("c1", "c2"))),
            "op",
            "drained too",
            0);
    settle(drained);
    store.admin().rollBack("harms");
    assertTrue(drive().startsWith("r1 was not begun"));
    assertEquals("its settings: version 4 is proposed", drive());
    assertEquals(
        "waits: configuration version 4, which reverts that of the release, waits for r9", drive());
    settle(4);
    assertEquals(3, agreementSnapshot().current().content().maxAttempts());
    assertEquals(
        List.of("c1", "c2"),
        List.copyOf(agreementSnapshot().current().content().excludedServers()));
    assertEquals("all parts run again what they ran before", drive());
  }

  @Test
  void rejectedConfigurationRollsBackTheReleaseWithoutARevert() throws AgreementException {
    drive();
    configAdmin.withdraw("a router cannot follow");
    assertEquals("goes back: its settings, version 2, were turned down", drive());
    assertEquals("its settings never came into force", drive());
    assertEquals("all parts run again what they ran before", drive());
    assertEquals(1, agreementSnapshot().current().number());
  }

  /** The proposal and the driver's own conditions are one transaction. */
  @Test
  void replacedDriverCannotProposeAConfiguration() throws AgreementException {
    RolloutTransaction transaction =
        driver.nextTransaction(
            store.snapshot(),
            Unavailability.of(Map.of()),
            new AgreedVersions(agreementSnapshot(), 2, List.of(), 0),
            0);
    store.expireDriverLease();
    assertFalse(store.commits(transaction));
    assertEquals(0, agreementSnapshot().proposedNumber());
    assertNull(driver.nextTransaction(store.snapshot(), Unavailability.of(Map.of()), null, 0));
  }
}
