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

/** Tests of the driver and the agents: budget, waves, canary check, halt and rollback. */
class RolloutDriverTest {
  private static final List<List<String>> WAVES = List.of(List.of("r1"), List.of("r2", "r3", "r4"));
  private static final long CALL_TIMEOUT_NANOS = 100;
  private final RolloutDriver driver = new RolloutDriver(InMemoryStore.KEYS, "d1", () -> "");
  private InMemoryStore store;

  private void startRelease(int maxUnavailable, int maxUnavailablePerZone, int minResponses)
      throws AgreementException {
    store =
        InMemoryStore.withRouters(maxUnavailable, maxUnavailablePerZone)
            .startRelease(minResponses, WAVES);
    assertTrue(store.commits(driver.acquireLease(store.snapshot(), 1)));
  }

  /** Executes the driver's next transaction and returns its description; null if it waits. */
  private String drive(long nowNanos, Map<String, String> unplanned) {
    RolloutTransaction transaction =
        driver.nextTransaction(store.snapshot(), Unavailability.of(unplanned), nowNanos);
    if (transaction == null) {
      return null;
    }
    assertTrue(store.commits(transaction), transaction.description());
    return transaction.description();
  }

  private void driveUntilWaiting(long nowNanos) {
    while (drive(nowNanos, Map.of()) != null) {
      assertTrue(store.snapshot().permits().size() <= 2);
    }
  }

  /** Executes the step of an instance by its agent. */
  private void executeStep(String instanceId, boolean ready) {
    RolloutAgent agent = store.agent(instanceId, "a", CALL_TIMEOUT_NANOS);
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
  void stepsThroughWavesWithinTheBudget() throws AgreementException {
    startRelease(2, 1, 0);
    driveUntilWaiting(0);
    assertEquals(List.of("r1"), List.copyOf(store.snapshot().steps().keySet()));
    executeStep("r1", true);
    driveUntilWaiting(0);
    assertEquals(StepPhase.VERIFIED, phase("r1"));
    // At most one instance of a zone is out of service at a time: r4 waits for r3.
    assertEquals(StepPhase.GRANTED, phase("r2"));
    assertEquals(StepPhase.GRANTED, phase("r3"));
    assertNull(phase("r4"));
    assertEquals(
        "r4: at most 1 of west may be out of service; waiting for r3 (permit 3 of release 1: why)",
        driver.waitReason());
    executeStep("r3", true);
    driveUntilWaiting(0);
    assertEquals(StepPhase.GRANTED, phase("r4"));
    executeStep("r2", true);
    executeStep("r4", true);
    driveUntilWaiting(0);
    assertEquals(RolloutMode.COMPLETED, store.snapshot().state().mode());
    assertTrue(store.snapshot().permits().isEmpty());
    assertEquals(4, store.snapshot().lastPermitNumber());
  }

  @Test
  void unplannedOutageCountsAgainstTheBudget() throws AgreementException {
    startRelease(1, 1, 0);
    Map<String, String> unplanned = Map.of("r4", "holds no lease");
    assertNull(drive(0, unplanned));
    assertEquals(
        "r1: at most 1 in all may be out of service; waiting for r4 (holds no lease)",
        driver.waitReason());
    assertNotNull(
        drive(0, Map.of("r1", "holds no lease")),
        "an instance that is already unavailable may be released");
  }

  /** The other zones serve the traffic of a zone that is out of service. */
  @Test
  void blocksStepsInOtherZonesWhileAZoneIsOutOfService() throws AgreementException {
    startRelease(2, 2, 0);
    Unavailability west =
        Unavailability.of(Map.of()).withZonesOutOfService(Map.of("west", "failed over"));
    assertNull(driver.nextTransaction(store.snapshot(), west, 0));
    assertEquals("r1: site west is out: failed over", driver.waitReason());
    assertTrue(
        assertThrows(
                AgreementException.class,
                () -> store.permits().takePermit(InstanceKind.ROUTER, "r1", "drain", west))
            .getMessage()
            .contains("site west is out"));
    assertNotNull(
        driver.nextTransaction(
            store.snapshot(),
            Unavailability.of(Map.of()).withZonesOutOfService(Map.of("east", "drained")),
            0));
  }

  /** An evacuation also makes a concurrent acquisition of a permit fail. */
  @Test
  void rejectsZoneEvacuationWhileAnotherZoneHoldsPermits() throws AgreementException {
    startRelease(2, 2, 0);
    RolloutTransaction step =
        driver.nextTransaction(store.snapshot(), Unavailability.of(Map.of()), 0);
    assertTrue(
        ((StoreResponse.Success) store.ask(store.permits().zoneEvacuation("west", "power")))
            .conditionsHeld());
    assertFalse(store.commits(step), "decided before the evacuation");
    drive(0, Map.of());
    assertEquals(
        "not allowed while parts of other sites are out of service: r1"
            + " (permit 2 of release 1: why)",
        assertThrows(
                AgreementException.class, () -> store.permits().zoneEvacuation("west", "power"))
            .getMessage());
    assertEquals(5, store.permits().zoneEvacuation("east", "own zone").conditions().size());
    assertEquals(
        List.of(),
        new InMemoryStore().permits().zoneEvacuation("west", "no fleet is defined").changes());
  }

  @Test
  void operatorDrainCountsAgainstTheBudget() throws AgreementException {
    startRelease(1, 1, 0);
    assertEquals(
        1,
        store
            .permits()
            .takePermit(InstanceKind.ROUTER, "r4", "drain", Unavailability.of(Map.of())));
    assertNull(drive(0, Map.of()));
    AgreementException e =
        assertThrows(
            AgreementException.class,
            () ->
                store
                    .permits()
                    .takePermit(
                        InstanceKind.ROUTER, "r3", "second drain", Unavailability.of(Map.of())));
    assertTrue(
        e.getMessage().startsWith("no permit is available: at most 1 of west"), e.getMessage());
    store.permits().returnPermit(InstanceKind.ROUTER, "r4", "done");
    assertNotNull(drive(0, Map.of()));
    assertEquals(2, store.snapshot().lastPermitNumber(), "numbers are not reused");
  }

  @Test
  void rollsBackWhenAnInstanceDoesNotBecomeReady() throws AgreementException {
    startRelease(2, 2, 0);
    driveUntilWaiting(0);
    executeStep("r1", true);
    driveUntilWaiting(0);
    executeStep("r2", false);
    driveUntilWaiting(0);
    assertEquals(RolloutMode.ROLLING_BACK, store.snapshot().state().mode());
    assertEquals("r2 did not get ready: status 1", store.snapshot().state().reason());
    // In reverse order: r3 had not started and is withdrawn; the others return to the old variant.
    assertEquals(StepPhase.ROLLED_BACK, phase("r3"));
    assertEquals(InstanceVariant.OLD, store.snapshot().steps().get("r2").variant());
    assertEquals(InstanceVariant.OLD, store.snapshot().steps().get("r1").variant());
    executeStep("r2", true);
    executeStep("r1", true);
    driveUntilWaiting(0);
    assertEquals(RolloutMode.ROLLED_BACK, store.snapshot().state().mode());
    assertTrue(store.snapshot().permits().isEmpty());
  }

  /** The comparison starts when both sides have enough responses. */
  @Test
  void rollsBackWhenAnInstanceDoesWorseThanItsPeers() throws AgreementException {
    startRelease(1, 1, 10);
    store.reportResponses("r1", 500, 500);
    store.reportResponses("r2", 900, 100);
    driveUntilWaiting(0);
    executeStep("r1", true);
    assertNull(drive(0, Map.of()));
    store.reportResponses("r1", 505, 500);
    store.reportResponses("r2", 910, 100);
    assertNull(drive(1, Map.of()));
    assertTrue(
        driver.waitReason().startsWith("r1 is watched: 0.000 of 5 answers bad"),
        driver.waitReason());
    store.reportResponses("r1", 505, 507);
    assertEquals(
        "goes back: r1 does worse: 0.583 of 12 answers bad, 0.000 of 10 at 1 others",
        drive(2, Map.of()));
  }

  @Test
  void rollsBackWhenAVerifiedInstanceRegresses() throws AgreementException {
    startRelease(1, 1, 10);
    driveUntilWaiting(0);
    executeStep("r1", true);
    store.reportResponses("r4", 0, 0);
    assertNull(drive(0, Map.of()));
    store.reportResponses("r1", 20, 0);
    store.reportResponses("r4", 100, 0);
    assertEquals(
        "r1 has stood the check: 0.000 of 20 answers bad, 0.000 of 100 at 1 others",
        drive(1, Map.of()));
    driveUntilWaiting(1);
    store.reportResponses("r1", 60, 40);
    store.reportResponses("r4", 190, 10);
    assertEquals(
        "goes back: r1 does worse since it stood the check: 0.500 of 80 answers bad,"
            + " 0.100 of 100 at 1 others",
        drive(2, Map.of()));
  }

  /** With few responses a difference may be chance. */
  @Test
  void keepsWatchingUntilARegressionIsSignificant() throws AgreementException {
    startRelease(1, 1, 10);
    store.reportResponses("r2", 0, 0);
    driveUntilWaiting(0);
    executeStep("r1", true);
    assertNull(drive(0, Map.of()));
    store.reportResponses("r1", 9, 2);
    store.reportResponses("r2", 20, 0);
    assertNull(drive(1, Map.of()));
    store.reportResponses("r1", 90, 20);
    store.reportResponses("r2", 200, 0);
    assertEquals(
        "goes back: r1 does worse: 0.182 of 110 answers bad, 0.000 of 200 at 1 others",
        drive(2, Map.of()));
  }

  /** A newly started instance does worse than its peers while other instances are unreachable. */
  @Test
  void toleratesModerateFailuresDuringUnplannedOutages() throws AgreementException {
    Map<String, String> unplanned = Map.of("r4", "holds no lease");
    startRelease(2, 2, 10);
    store.reportResponses("r2", 0, 0);
    driveUntilWaiting(0);
    executeStep("r1", true);
    assertNull(drive(0, unplanned));
    store.reportResponses("r1", 60, 40);
    store.reportResponses("r2", 100, 0);
    assertNull(drive(1, unplanned));
    assertTrue(
        driver
            .waitReason()
            .startsWith("r1 is watched: other instances are out of service without a permit"),
        driver.waitReason());
    assertNull(drive(2, Map.of()));
    store.reportResponses("r1", 160, 40);
    store.reportResponses("r2", 200, 0);
    assertEquals(
        "r1 has stood the check: 0.000 of 100 answers bad, 0.000 of 100 at 1 others",
        drive(3, Map.of()),
        "compared from the end of the outage");
    startRelease(2, 2, 10);
    store.reportResponses("r2", 0, 0);
    driveUntilWaiting(0);
    executeStep("r1", true);
    assertNull(drive(0, unplanned));
    store.reportResponses("r1", 40, 60);
    store.reportResponses("r2", 100, 0);
    assertEquals(
        "goes back: r1 does worse: 0.600 of 100 answers bad, 0.000 of 100 at 1 others",
        drive(1, unplanned));
  }

  /** Responses of a new process before its first report are not compared. */
  @Test
  void excludesResponsesBeforeTheFirstReportOfAProcess() throws AgreementException {
    startRelease(1, 1, 10);
    store.reportResponses("r2", 0, 0);
    store.reportResponses("r1", "old", 900, 0);
    driveUntilWaiting(0);
    executeStep("r1", true);
    assertNull(drive(0, Map.of()));
    store.reportResponses("r1", "new", 60, 40);
    store.reportResponses("r2", 1000, 0);
    assertNull(drive(1, Map.of()));
    store.reportResponses("r1", "new", 160, 40);
    store.reportResponses("r2", 1100, 0);
    assertEquals(
        "r1 has stood the check: 0.000 of 100 answers bad, 0.000 of 100 at 1 others",
        drive(2, Map.of()));
  }

  /** With one instance out of service and one failed, the rest must carry the load of the zone. */
  @Test
  void delaysAStepThatWouldOverloadItsZone() throws AgreementException {
    store = new InMemoryStore();
    ReleaseFleet.Group group =
        new ReleaseFleet.Group(
            1,
            1,
            new TreeMap<>(Map.of("east", List.of("r1", "r2", "r3"), "west", List.of("r4", "r5"))),
            new ReleaseFleet.Capacity(100, 0, 1));
    store.admin().defineFleet(new ReleaseFleet(Map.of(InstanceKind.ROUTER, group)));
    AgreementException e =
        assertThrows(AgreementException.class, () -> store.startRelease(0, List.of(List.of("r4"))));
    assertEquals(
        "west has 2 routers: with 1 out of service and 1 failed, none is left", e.getMessage());
    store.startRelease(0, List.of(List.of("r1")));
    assertTrue(store.commits(driver.acquireLease(store.snapshot(), 1)));
    List.of("r1", "r2", "r3").forEach(instanceId -> store.reportResponses(instanceId, 0, 0));
    assertNull(drive(0, Map.of()));
    assertEquals("r1: the load of its site is being measured", driver.waitReason());
    List.of("r1", "r2", "r3").forEach(instanceId -> store.reportResponses(instanceId, 40, 0));
    assertNull(drive(1_000_000_000, Map.of()));
    assertEquals(
        "r1: east carries 120.0 responses per second; 1 routers would be left with 1 failed,"
            + " with a capacity of 100.0 each",
        driver.waitReason());
    assertNull(drive(2_000_000_000, Map.of("r3", "holds no lease")));
    assertTrue(driver.waitReason().contains("r3 (holds no lease)"), driver.waitReason());
    List.of("r1", "r2", "r3").forEach(instanceId -> store.reportResponses(instanceId, 50, 0));
    assertNotNull(drive(2_000_000_000, Map.of()), "30 responses in the last second");
  }

  @Test
  void keepsWatchingWithoutResponsesOfPeers() throws AgreementException {
    startRelease(1, 1, 10);
    store.reportResponses("r2", 500, 0);
    driveUntilWaiting(0);
    executeStep("r1", true);
    assertNull(drive(0, Map.of()));
    store.reportResponses("r1", 100, 0);
    assertNull(drive(1, Map.of()));
    assertEquals(
        "r1 is watched: 0.000 of 100 answers bad, 0.000 of 0 at 1 others", driver.waitReason());
  }

  @Test
  void ignoresFailuresThatPeersShare() throws AgreementException {
    startRelease(1, 1, 10);
    store.reportResponses("r1", 0, 0);
    store.reportResponses("r2", 900, 100);
    driveUntilWaiting(0);
    executeStep("r1", true);
    assertNull(drive(0, Map.of()));
    store.reportResponses("r1", 10, 10);
    store.reportResponses("r2", 910, 110);
    assertEquals(
        "r1 has stood the check: 0.500 of 20 answers bad, 0.500 of 20 at 1 others",
        drive(1, Map.of()));
  }

  @Test
  void haltStopsPendingStepsAndResumeAllowsThem() throws AgreementException {
    startRelease(1, 1, 0);
    driveUntilWaiting(0);
    RolloutAgent agent = store.agent("r1", "a", CALL_TIMEOUT_NANOS);
    RolloutTransaction pending = agent.nextTransaction(store.snapshot(), 0);
    store.admin().halt("wait");
    assertFalse(store.commits(pending), "decided before the halt");
    assertNull(agent.transactionCompleted(false, 0));
    assertNull(agent.nextTransaction(store.snapshot(), 0));
    assertNull(drive(0, Map.of()));
    store.admin().resume("on");
    assertNotNull(
        agent.transactionCompleted(store.commits(agent.nextTransaction(store.snapshot(), 0)), 0));
    assertThrows(AgreementException.class, () -> store.admin().resume("again"));
  }

  /** A second agent of an instance acts only after the lease of the first has expired. */
  @Test
  void onlyOneAgentActsOnAnInstance() throws AgreementException {
    startRelease(1, 1, 0);
    driveUntilWaiting(0);
    RolloutAgent first = store.agent("r1", "a", CALL_TIMEOUT_NANOS);
    RolloutAgent second = store.agent("r1", "b", CALL_TIMEOUT_NANOS);
    assertNull(second.nextTransaction(store.snapshot(), 0));
    RolloutTransaction start = first.nextTransaction(store.snapshot(), 0);
    store.expireAgentLease("r1");
    assertTrue(store.commits(second.acquireLease(store.snapshot(), 1)));
    assertFalse(store.commits(start), "another agent holds the lease");
    assertNotNull(second.nextTransaction(store.snapshot(), 0));
  }

  /** The step is stored as started, but its action needs a new transaction. */
  @Test
  void lateReplyStartsNoAction() throws AgreementException {
    startRelease(1, 1, 0);
    driveUntilWaiting(0);
    RolloutAgent agent = store.agent("r1", "a", CALL_TIMEOUT_NANOS);
    assertNull(
        agent.transactionCompleted(
            store.commits(agent.nextTransaction(store.snapshot(), 0)), CALL_TIMEOUT_NANOS + 1));
    assertEquals(StepPhase.STARTED, phase("r1"));
    store.admin().halt("wait");
    assertNull(agent.nextTransaction(store.snapshot(), CALL_TIMEOUT_NANOS + 2));
    store.admin().resume("on");
    assertEquals(
        InstanceVariant.NEW,
        agent.transactionCompleted(
            store.commits(agent.nextTransaction(store.snapshot(), CALL_TIMEOUT_NANOS + 3)),
            CALL_TIMEOUT_NANOS + 4));
  }

  @Test
  void transactionsOfAReplacedDriverFail() throws AgreementException {
    startRelease(1, 1, 0);
    RolloutTransaction outdated =
        driver.nextTransaction(store.snapshot(), Unavailability.of(Map.of()), 0);
    store.expireDriverLease();
    RolloutDriver successor = new RolloutDriver(InMemoryStore.KEYS, "d2", () -> "");
    assertTrue(store.commits(successor.acquireLease(store.snapshot(), 2)));
    assertFalse(store.commits(outdated));
    assertNull(driver.nextTransaction(store.snapshot(), Unavailability.of(Map.of()), 0));
    assertNotNull(successor.nextTransaction(store.snapshot(), Unavailability.of(Map.of()), 0));
  }

  @Test
  void agentRollsBackAFailedStepWhileTheStoreIsUnreachable() throws AgreementException {
    startRelease(1, 1, 0);
    driveUntilWaiting(0);
    RolloutAgent agent = store.agent("r1", "a", CALL_TIMEOUT_NANOS);
    assertNotNull(
        agent.transactionCompleted(store.commits(agent.nextTransaction(store.snapshot(), 0)), 0));
    agent.actionEnded(false, "status 1", 10);
    RolloutPlan plan =
        new RolloutPlan(
            1,
            InstanceKind.ROUTER,
            WAVES,
            0,
            0,
            RegressionBounds.ofFailedShare(0),
            1,
            50,
            "",
            null,
            "");
    assertNull(agent.startSelfRollback(plan, 59));
    assertEquals(InstanceVariant.OLD, agent.startSelfRollback(plan, 60));
    agent.actionEnded(true, "", 70);
    assertTrue(store.commits(agent.nextTransaction(store.snapshot(), 80)));
    assertEquals("goes back: r1 was brought back by its agent: ", drive(90, Map.of()));
    driveUntilWaiting(90);
    assertEquals(RolloutMode.ROLLED_BACK, store.snapshot().state().mode());
  }

  @Test
  void returningThePermitOfALostInstanceStopsItsAgent() throws AgreementException {
    startRelease(1, 1, 0);
    driveUntilWaiting(0);
    RolloutAgent agent = store.agent("r1", "a", CALL_TIMEOUT_NANOS);
    RolloutTransaction start = agent.nextTransaction(store.snapshot(), 0);
    store.permits().returnPermit(InstanceKind.ROUTER, "r1", "its machine failed");
    assertFalse(store.commits(start));
    assertTrue(store.snapshot().permits().isEmpty());
  }

  @Test
  void rejectsPlansThatCannotBeCarriedOut() throws AgreementException {
    InMemoryStore withoutBudget = InMemoryStore.withRouters(0, 0);
    assertEquals(
        "the disruption budget allows no router to be out of service",
        assertThrows(AgreementException.class, () -> withoutBudget.startRelease(0, WAVES))
            .getMessage());
    InMemoryStore withBudget = InMemoryStore.withRouters(1, 1);
    assertEquals(
        "there is no router 'r9' in the fleet",
        assertThrows(
                AgreementException.class, () -> withBudget.startRelease(0, List.of(List.of("r9"))))
            .getMessage());
    withBudget.startRelease(0, WAVES);
    assertEquals(
        "release 1 is not over: it runs",
        assertThrows(AgreementException.class, () -> withBudget.startRelease(0, WAVES))
            .getMessage());
    assertEquals(
        List.of(List.of("r1"), List.of("r2"), List.of("r3", "r4")),
        DefaultWaves.of(withBudget.snapshot().fleet().group(InstanceKind.ROUTER)));
  }
}
