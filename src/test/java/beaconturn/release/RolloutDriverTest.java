package beaconturn.release;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beaconturn.agreement.AgreementException;
import beaconturn.agreement.StoreResponse;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** Disruption budget, waves, checks, halt and rollback, step by step. */
class RolloutDriverTest {
  private static final List<List<String>> WAVES = List.of(List.of("r1"), List.of("r2", "r3", "r4"));
  private static final long TIMEOUT = 100;
  private final RolloutDriver driver = new RolloutDriver(InMemoryStore.KEYS, "d1", () -> "");
  private InMemoryStore store;

  private void begin(int mostOut, int ofSite, int samples) throws AgreementException {
    store = InMemoryStore.with(mostOut, ofSite).begin(samples, WAVES);
    assertTrue(store.commits(driver.acquireLease(store.snapshot(), 1)));
  }

  /** Carries out what the driver does next; its description, or null where it waits. */
  private String drive(long now, Map<String, String> unplanned) {
    RolloutTransaction actOn =
        driver.nextTransaction(store.snapshot(), Unavailability.of(unplanned), now);
    if (actOn == null) {
      return null;
    }
    assertTrue(store.commits(actOn), actOn.description());
    return actOn.description();
  }

  private void driveUntilItWaits(long now) {
    while (drive(now, Map.of()) != null) {
      assertTrue(store.snapshot().permits().size() <= 2);
    }
  }

  /** The instance's agent carries out its step. */
  private void actOn(String instanceId, boolean ready) {
    RolloutAgent agent = store.agent(instanceId, "a", TIMEOUT);
    assertNotNull(
        agent.transactionCompleted(store.commits(agent.nextTransaction(store.snapshot(), 0)), 0),
        instanceId);
    agent.actionEnded(ready, ready ? "" : "status 1", 0);
    assertTrue(store.commits(agent.nextTransaction(store.snapshot(), 0)));
  }

  private StepPhase phase(String instanceId) {
    RolloutStep step = store.snapshot().steps().get(instanceId);
    return step == null ? null : step.phase();
  }

  @Test
  void wavesGoOneAfterTheOtherWithinTheBudget() throws AgreementException {
    begin(2, 1, 0);
    driveUntilItWaits(0);
    assertEquals(List.of("r1"), List.copyOf(store.snapshot().steps().keySet()));
    actOn("r1", true);
    driveUntilItWaits(0);
    assertEquals(StepPhase.VERIFIED, phase("r1"));
    // One of a zone at a time: r4 waits for r3.
    assertEquals(StepPhase.GRANTED, phase("r2"));
    assertEquals(StepPhase.GRANTED, phase("r3"));
    assertNull(phase("r4"));
    assertEquals(
        "r4: at most 1 of west may be out, it waits for r3 (permit 3 of release 1: why)",
        driver.waitReason());
    actOn("r3", true);
    driveUntilItWaits(0);
    assertEquals(StepPhase.GRANTED, phase("r4"));
    actOn("r2", true);
    actOn("r4", true);
    driveUntilItWaits(0);
    assertEquals(RolloutMode.COMPLETED, store.snapshot().state().mode());
    assertTrue(store.snapshot().permits().isEmpty());
    assertEquals(4, store.snapshot().lastPermitNumber());
  }

  /** An instance that is out by itself holds no permit and uses up the budget. */
  @Test
  void aFailureThatNobodyPlannedHoldsTheNextStepUp() throws AgreementException {
    begin(1, 1, 0);
    Map<String, String> unplanned = Map.of("r4", "holds no lease");
    assertNull(drive(0, unplanned));
    assertEquals(
        "r1: at most 1 in all may be out, it waits for r4 (holds no lease)", driver.waitReason());
    assertNotNull(drive(0, Map.of("r1", "holds no lease")), "what is out already may be released");
  }

  /** The other zones serve the traffic of a zone that is out; in that zone steps do no harm. */
  @Test
  void whileASiteIsOutNoStepBeginsElsewhere() throws AgreementException {
    begin(2, 2, 0);
    Unavailability west = Unavailability.of(Map.of()).withZonesOutOfService(Map.of("west", "failed over"));
    assertNull(driver.nextTransaction(store.snapshot(), west, 0));
    assertEquals("r1: site west is out: failed over", driver.waitReason());
    assertTrue(
        assertThrows(
                AgreementException.class,
                () -> store.permits().takePermit(InstanceKind.ROUTER, "r1", "by hand", west))
            .getMessage()
            .contains("site west is out"));
    assertNotNull(
        driver.nextTransaction(
            store.snapshot(),
            Unavailability.of(Map.of()).withZonesOutOfService(Map.of("east", "drained")),
            0));
  }

  /** Whoever takes a permit at the same time has to decide anew. */
  @Test
  void aSiteIsNotTakenOutWhilePartsOfAnotherAre() throws AgreementException {
    begin(2, 2, 0);
    RolloutTransaction step =
        driver.nextTransaction(store.snapshot(), Unavailability.of(Map.of()), 0);
    assertTrue(
        ((StoreResponse.Success) store.ask(store.permits().zoneEvacuation("west", "power")))
            .conditionsHeld());
    assertFalse(store.commits(step), "it was decided on before the site went");
    drive(0, Map.of());
    assertEquals(
        "not while parts of other sites are out: r1 (permit 2 of release 1: why)",
        assertThrows(
                AgreementException.class, () -> store.permits().zoneEvacuation("west", "power"))
            .getMessage());
    assertEquals(5, store.permits().zoneEvacuation("east", "it is its own").conditions().size());
    assertEquals(
        List.of(),
        new InMemoryStore().permits().zoneEvacuation("west", "no fleet is said").changes());
  }

  @Test
  void aDrainByHandTakesFromTheSameBudget() throws AgreementException {
    begin(1, 1, 0);
    assertEquals(
        1,
        store
            .permits()
            .takePermit(InstanceKind.ROUTER, "r4", "by hand", Unavailability.of(Map.of())));
    assertNull(drive(0, Map.of()));
    AgreementException e =
        assertThrows(
            AgreementException.class,
            () ->
                store
                    .permits()
                    .takePermit(
                        InstanceKind.ROUTER, "r3", "by hand too", Unavailability.of(Map.of())));
    assertTrue(e.getMessage().startsWith("no place is free: at most 1 of west"), e.getMessage());
    store.permits().returnPermit(InstanceKind.ROUTER, "r4", "done");
    assertNotNull(drive(0, Map.of()));
    assertEquals(2, store.snapshot().lastPermitNumber(), "a number is never given again");
  }

  @Test
  void onePartThatDoesNotGetReadyTakesTheReleaseBack() throws AgreementException {
    begin(2, 2, 0);
    driveUntilItWaits(0);
    actOn("r1", true);
    driveUntilItWaits(0);
    actOn("r2", false);
    driveUntilItWaits(0);
    assertEquals(RolloutMode.ROLLING_BACK, store.snapshot().state().mode());
    assertEquals("r2 did not get ready: status 1", store.snapshot().state().reason());
    // In the reverse order: what was not begun at once, then what runs the new variant.
    assertEquals(StepPhase.ROLLED_BACK, phase("r3"));
    assertEquals(InstanceVariant.OLD, store.snapshot().steps().get("r2").variant());
    assertEquals(InstanceVariant.OLD, store.snapshot().steps().get("r1").variant());
    actOn("r2", true);
    actOn("r1", true);
    driveUntilItWaits(0);
    assertEquals(RolloutMode.ROLLED_BACK, store.snapshot().state().mode());
    assertTrue(store.snapshot().permits().isEmpty());
  }

  /** Compared with the unchanged instances over the same time, once there are enough answers. */
  @Test
  void aPartThatDoesWorseThanTheOthersTakesTheReleaseBack() throws AgreementException {
    begin(1, 1, 10);
    store.health("r1", 500, 500);
    store.health("r2", 900, 100);
    driveUntilItWaits(0);
    actOn("r1", true);
    assertNull(drive(0, Map.of()));
    store.health("r1", 505, 500);
    store.health("r2", 910, 100);
    assertNull(drive(1, Map.of()));
    assertTrue(
        driver.waitReason().startsWith("r1 is watched: 0.000 of 5 answers bad"),
        driver.waitReason());
    store.health("r1", 505, 507);
    assertEquals(
        "goes back: r1 does worse: 0.583 of 12 answers bad, 0.000 of 10 at 1 others",
        drive(2, Map.of()));
  }

  /** Harm may take minutes to show: verified instances are watched while others are unchanged. */
  @Test
  void onePartThatTurnsBadAfterItsCheckTakesTheReleaseBack() throws AgreementException {
    begin(1, 1, 10);
    driveUntilItWaits(0);
    actOn("r1", true);
    store.health("r4", 0, 0);
    assertNull(drive(0, Map.of()));
    store.health("r1", 20, 0);
    store.health("r4", 100, 0);
    assertEquals(
        "r1 has stood the check: 0.000 of 20 answers bad, 0.000 of 100 at 1 others",
        drive(1, Map.of()));
    driveUntilItWaits(1);
    store.health("r1", 60, 40);
    store.health("r4", 190, 10);
    assertEquals(
        "goes back: r1 does worse since it stood the check: 0.500 of 80 answers bad,"
            + " 0.100 of 100 at 1 others",
        drive(2, Map.of()));
  }

  /** Over few answers one more failure is chance: the instance is watched on. */
  @Test
  void whatMayBeChanceIsWatchedOn() throws AgreementException {
    begin(1, 1, 10);
    store.health("r2", 0, 0);
    driveUntilItWaits(0);
    actOn("r1", true);
    assertNull(drive(0, Map.of()));
    store.health("r1", 9, 2);
    store.health("r2", 20, 0);
    assertNull(drive(1, Map.of()));
    store.health("r1", 90, 20);
    store.health("r2", 200, 0);
    assertEquals(
        "goes back: r1 does worse: 0.182 of 110 answers bad, 0.000 of 200 at 1 others",
        drive(2, Map.of()));
  }

  /** In a zone that is cut off an instance that has just started does worse than its peers. */
  @Test
  void whileOthersAreGoneByThemselvesOnlyWhatMostlyFailsIsTheReleases() throws AgreementException {
    Map<String, String> unplanned = Map.of("r4", "holds no lease");
    begin(2, 2, 10);
    store.health("r2", 0, 0);
    driveUntilItWaits(0);
    actOn("r1", true);
    assertNull(drive(0, unplanned));
    store.health("r1", 60, 40);
    store.health("r2", 100, 0);
    assertNull(drive(1, unplanned));
    assertTrue(
        driver.waitReason().startsWith("r1 is watched: others are gone by themselves"),
        driver.waitReason());
    assertNull(drive(2, Map.of()));
    store.health("r1", 160, 40);
    store.health("r2", 200, 0);
    assertEquals(
        "r1 has stood the check: 0.000 of 100 answers bad, 0.000 of 100 at 1 others",
        drive(3, Map.of()),
        "compared from when all were back");
    begin(2, 2, 10);
    store.health("r2", 0, 0);
    driveUntilItWaits(0);
    actOn("r1", true);
    assertNull(drive(0, unplanned));
    store.health("r1", 40, 60);
    store.health("r2", 100, 0);
    assertEquals(
        "goes back: r1 does worse: 0.600 of 100 answers bad, 0.000 of 100 at 1 others",
        drive(1, unplanned));
  }

  /** Its agent was cut off meanwhile: what it answered in that time is not compared. */
  @Test
  void whatAProcessAnsweredBeforeItWasHeardOfDoesNotCount() throws AgreementException {
    begin(1, 1, 10);
    store.health("r2", 0, 0);
    store.health("r1", "old", 900, 0);
    driveUntilItWaits(0);
    actOn("r1", true);
    assertNull(drive(0, Map.of()));
    store.health("r1", "new", 60, 40);
    store.health("r2", 1000, 0);
    assertNull(drive(1, Map.of()));
    store.health("r1", "new", 160, 40);
    store.health("r2", 1100, 0);
    assertEquals(
        "r1 has stood the check: 0.000 of 100 answers bad, 0.000 of 100 at 1 others",
        drive(2, Map.of()));
  }

  /** With one instance out and one failed, the others of the zone must carry its present load. */
  @Test
  void aStepWaitsWhileItsSiteCouldNotCarryItsLoad() throws AgreementException {
    store = new InMemoryStore();
    ReleaseFleet.Group group =
        new ReleaseFleet.Group(
            1,
            1,
            new TreeMap<>(Map.of("east", List.of("r1", "r2", "r3"), "west", List.of("r4", "r5"))),
            new ReleaseFleet.Capacity(100, 0, 1));
    store.admin().defineFleet(new ReleaseFleet(Map.of(InstanceKind.ROUTER, group)));
    AgreementException e =
        assertThrows(AgreementException.class, () -> store.begin(0, List.of(List.of("r4"))));
    assertEquals("west has 2 routers: with 1 out and 1 that fail none is left", e.getMessage());
    store.begin(0, List.of(List.of("r1")));
    assertTrue(store.commits(driver.acquireLease(store.snapshot(), 1)));
    List.of("r1", "r2", "r3").forEach(instanceId -> store.health(instanceId, 0, 0));
    assertNull(drive(0, Map.of()));
    assertEquals("r1: what its site carries is measured", driver.waitReason());
    List.of("r1", "r2", "r3").forEach(instanceId -> store.health(instanceId, 40, 0));
    assertNull(drive(1_000_000_000, Map.of()));
    assertEquals(
        "r1: east carries 120.0 answers a second, and 1 routers would be left with 1 that fail,"
            + " for 100.0 each",
        driver.waitReason());
    assertNull(drive(2_000_000_000, Map.of("r3", "holds no lease")));
    assertTrue(driver.waitReason().contains("r3 (holds no lease)"), driver.waitReason());
    List.of("r1", "r2", "r3").forEach(instanceId -> store.health(instanceId, 50, 0));
    assertNotNull(drive(2_000_000_000, Map.of()), "30 answers in the last second");
  }

  /** Without answers of peers there is nothing to compare with. */
  @Test
  void withoutAnswersOfTheOthersItIsWatchedOn() throws AgreementException {
    begin(1, 1, 10);
    store.health("r2", 500, 0);
    driveUntilItWaits(0);
    actOn("r1", true);
    assertNull(drive(0, Map.of()));
    store.health("r1", 100, 0);
    assertNull(drive(1, Map.of()));
    assertEquals(
        "r1 is watched: 0.000 of 100 answers bad, 0.000 of 0 at 1 others", driver.waitReason());
  }

  @Test
  void troubleThatAllHaveIsNotTheReleases() throws AgreementException {
    begin(1, 1, 10);
    store.health("r1", 0, 0);
    store.health("r2", 900, 100);
    driveUntilItWaits(0);
    actOn("r1", true);
    assertNull(drive(0, Map.of()));
    store.health("r1", 10, 10);
    store.health("r2", 910, 110);
    assertEquals(
        "r1 has stood the check: 0.500 of 20 answers bad, 0.500 of 20 at 1 others",
        drive(1, Map.of()));
  }

  @Test
  void aHaltBindsAgentsThatHaveNotBegunAndItsEndLetsThemGoOn() throws AgreementException {
    begin(1, 1, 0);
    driveUntilItWaits(0);
    RolloutAgent agent = store.agent("r1", "a", TIMEOUT);
    RolloutTransaction late = agent.nextTransaction(store.snapshot(), 0);
    store.admin().halt("wait");
    assertFalse(store.commits(late), "what was decided before the halt holds no more");
    assertNull(agent.transactionCompleted(false, 0));
    assertNull(agent.nextTransaction(store.snapshot(), 0));
    assertNull(drive(0, Map.of()));
    store.admin().resume("on");
    assertNotNull(
        agent.transactionCompleted(store.commits(agent.nextTransaction(store.snapshot(), 0)), 0));
    assertThrows(AgreementException.class, () -> store.admin().resume("again"));
  }

  /** Two agents of one instance: the second acts only once the lease of the first has ended. */
  @Test
  void onlyOneAgentActsOnAPart() throws AgreementException {
    begin(1, 1, 0);
    driveUntilItWaits(0);
    RolloutAgent first = store.agent("r1", "a", TIMEOUT);
    RolloutAgent second = store.agent("r1", "b", TIMEOUT);
    assertNull(second.nextTransaction(store.snapshot(), 0));
    RolloutTransaction begins = first.nextTransaction(store.snapshot(), 0);
    store.agentGone("r1");
    assertTrue(store.commits(second.acquireLease(store.snapshot(), 1)));
    assertFalse(store.commits(begins), "its seat is another's");
    assertNotNull(second.nextTransaction(store.snapshot(), 0));
  }

  /** The transaction held; the response came too late to act on, so that it is made again. */
  @Test
  void anAnswerThatComesLateAllowsNothing() throws AgreementException {
    begin(1, 1, 0);
    driveUntilItWaits(0);
    RolloutAgent agent = store.agent("r1", "a", TIMEOUT);
    assertNull(
        agent.transactionCompleted(
            store.commits(agent.nextTransaction(store.snapshot(), 0)), TIMEOUT + 1));
    assertEquals(StepPhase.STARTED, phase("r1"));
    store.admin().halt("wait");
    assertNull(agent.nextTransaction(store.snapshot(), TIMEOUT + 2));
    store.admin().resume("on");
    assertEquals(
        InstanceVariant.NEW,
        agent.transactionCompleted(
            store.commits(agent.nextTransaction(store.snapshot(), TIMEOUT + 3)), TIMEOUT + 4));
  }

  @Test
  void aDriverThatWasReplacedCanDoNothingWithWhatItKnew() throws AgreementException {
    begin(1, 1, 0);
    RolloutTransaction old =
        driver.nextTransaction(store.snapshot(), Unavailability.of(Map.of()), 0);
    store.driverGone();
    RolloutDriver next = new RolloutDriver(InMemoryStore.KEYS, "d2", () -> "");
    assertTrue(store.commits(next.acquireLease(store.snapshot(), 2)));
    assertFalse(store.commits(old));
    assertNull(driver.nextTransaction(store.snapshot(), Unavailability.of(Map.of()), 0));
    assertNotNull(next.nextTransaction(store.snapshot(), Unavailability.of(Map.of()), 0));
  }

  /** While the store does not answer an agent brings back what failed, if the plan says so. */
  @Test
  void anAgentAloneBringsBackWhatFailed() throws AgreementException {
    begin(1, 1, 0);
    driveUntilItWaits(0);
    RolloutAgent agent = store.agent("r1", "a", TIMEOUT);
    assertNotNull(
        agent.transactionCompleted(store.commits(agent.nextTransaction(store.snapshot(), 0)), 0));
    agent.actionEnded(false, "status 1", 10);
    RolloutPlan plan =
        new RolloutPlan(
            1, InstanceKind.ROUTER, WAVES, 0, 0, RegressionBounds.ofFailedShare(0), 1, 50, "", null, "");
    assertNull(agent.startSelfRollback(plan, 59));
    assertEquals(InstanceVariant.OLD, agent.startSelfRollback(plan, 60));
    agent.actionEnded(true, "", 70);
    assertTrue(store.commits(agent.nextTransaction(store.snapshot(), 80)));
    assertEquals("goes back: r1 was brought back by its agent: ", drive(90, Map.of()));
    driveUntilItWaits(90);
    assertEquals(RolloutMode.ROLLED_BACK, store.snapshot().state().mode());
  }

  @Test
  void aPartThatIsDeclaredLostGivesItsPlaceBackAndItsAgentCanDoNothing() throws AgreementException {
    begin(1, 1, 0);
    driveUntilItWaits(0);
    RolloutAgent agent = store.agent("r1", "a", TIMEOUT);
    RolloutTransaction begins = agent.nextTransaction(store.snapshot(), 0);
    store.permits().returnPermit(InstanceKind.ROUTER, "r1", "its machine burnt");
    assertFalse(store.commits(begins));
    assertTrue(store.snapshot().permits().isEmpty());
  }

  @Test
  void whatCannotBeReleasedIsSaidBeforeItBegins() throws AgreementException {
    InMemoryStore none = InMemoryStore.with(0, 0);
    assertEquals(
        "no router may be out at all",
        assertThrows(AgreementException.class, () -> none.begin(0, WAVES)).getMessage());
    InMemoryStore some = InMemoryStore.with(1, 1);
    assertEquals(
        "there is no router 'r9' in the fleet",
        assertThrows(AgreementException.class, () -> some.begin(0, List.of(List.of("r9"))))
            .getMessage());
    some.begin(0, WAVES);
    assertEquals(
        "release 1 is at hand: it runs",
        assertThrows(AgreementException.class, () -> some.begin(0, WAVES)).getMessage());
    assertEquals(
        List.of(List.of("r1"), List.of("r2"), List.of("r3", "r4")),
        DefaultWaves.of(some.snapshot().fleet().group(InstanceKind.ROUTER)));
  }
}
