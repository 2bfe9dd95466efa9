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

/** Budget, waves, checks, halt and way back, step by step. */
class RolloutDriverTest {
  private static final List<List<String>> WAVES = List.of(List.of("r1"), List.of("r2", "r3", "r4"));
  private static final long TIMEOUT = 100;
  private final RolloutDriver driver = new RolloutDriver(InMemoryStore.KEYS, "d1", () -> "");
  private InMemoryStore board;

  private void begin(int mostOut, int ofSite, int samples) throws AgreementException {
    board = InMemoryStore.with(mostOut, ofSite).begin(samples, WAVES);
    assertTrue(board.held(driver.take(board.scene(), 1)));
  }

  /** What the driver does next, done; null where it waits. */
  private String drive(long now, Map<String, String> gone) {
    RolloutTransaction act = driver.due(board.scene(), Unavailability.of(gone), now);
    if (act == null) {
      return null;
    }
    assertTrue(board.held(act), act.says());
    return act.says();
  }

  private void all(long now) {
    while (drive(now, Map.of()) != null) {
      assertTrue(board.scene().permits().size() <= 2);
    }
  }

  /** The part's agent goes through the step at hand. */
  private void act(String id, boolean ready) {
    RolloutAgent agent = board.agent(id, "a", TIMEOUT);
    assertNotNull(agent.answered(board.held(agent.due(board.scene(), 0)), 0), id);
    agent.ended(ready, ready ? "" : "status 1", 0);
    assertTrue(board.held(agent.due(board.scene(), 0)));
  }

  private RolloutStep.Phase phase(String id) {
    RolloutStep step = board.scene().steps().get(id);
    return step == null ? null : step.phase();
  }

  @Test
  void wavesGoOneAfterTheOtherWithinTheBudget() throws AgreementException {
    begin(2, 1, 0);
    all(0);
    assertEquals(List.of("r1"), List.copyOf(board.scene().steps().keySet()));
    act("r1", true);
    all(0);
    assertEquals(RolloutStep.Phase.GOOD, phase("r1"));
    // One of a site at a time: r4 waits for r3.
    assertEquals(RolloutStep.Phase.GRANTED, phase("r2"));
    assertEquals(RolloutStep.Phase.GRANTED, phase("r3"));
    assertNull(phase("r4"));
    assertEquals(
        "r4: at most 1 of west may be out, it waits for r3 (permit 3 of release 1: why)",
        driver.waits());
    act("r3", true);
    all(0);
    assertEquals(RolloutStep.Phase.GRANTED, phase("r4"));
    act("r2", true);
    act("r4", true);
    all(0);
    assertEquals(RolloutState.Mode.DONE, board.scene().course().mode());
    assertTrue(board.scene().permits().isEmpty());
    assertEquals(4, board.scene().counter());
  }

  /** Whoever is gone by itself takes no permit and uses the budget up. */
  @Test
  void aFailureThatNobodyPlannedHoldsTheNextStepUp() throws AgreementException {
    begin(1, 1, 0);
    Map<String, String> gone = Map.of("r4", "holds no lease");
    assertNull(drive(0, gone));
    assertEquals(
        "r1: at most 1 in all may be out, it waits for r4 (holds no lease)", driver.waits());
    assertNotNull(drive(0, Map.of("r1", "holds no lease")), "what is out already may be released");
  }

  /**
   * Those that stand in for a site that is out are needed; at that site itself steps harm nobody.
   */
  @Test
  void whileASiteIsOutNoStepBeginsElsewhere() throws AgreementException {
    begin(2, 2, 0);
    Unavailability west = Unavailability.of(Map.of()).whileOut(Map.of("west", "failed over"));
    assertNull(driver.due(board.scene(), west, 0));
    assertEquals("r1: site west is out: failed over", driver.waits());
    assertTrue(
        assertThrows(
                AgreementException.class,
                () -> board.desk().take(InstanceKind.ROUTER, "r1", "by hand", west))
            .getMessage()
            .contains("site west is out"));
    assertNotNull(
        driver.due(
            board.scene(), Unavailability.of(Map.of()).whileOut(Map.of("east", "drained")), 0));
  }

  /** One after the other: whoever takes a place at the same time has to look again. */
  @Test
  void aSiteIsNotTakenOutWhilePartsOfAnotherAre() throws AgreementException {
    begin(2, 2, 0);
    RolloutTransaction step = driver.due(board.scene(), Unavailability.of(Map.of()), 0);
    assertTrue(
        ((StoreResponse.Success) board.ask(board.desk().siteOut("west", "power")))
            .conditionsHeld());
    assertFalse(board.held(step), "it was decided on before the site went");
    drive(0, Map.of());
    assertEquals(
        "not while parts of other sites are out: r1 (permit 2 of release 1: why)",
        assertThrows(AgreementException.class, () -> board.desk().siteOut("west", "power"))
            .getMessage());
    assertEquals(5, board.desk().siteOut("east", "it is its own").conditions().size());
    assertEquals(
        List.of(), new InMemoryStore().desk().siteOut("west", "no fleet is said").changes());
  }

  @Test
  void aDrainByHandTakesFromTheSameBudget() throws AgreementException {
    begin(1, 1, 0);
    assertEquals(
        1, board.desk().take(InstanceKind.ROUTER, "r4", "by hand", Unavailability.of(Map.of())));
    assertNull(drive(0, Map.of()));
    AgreementException e =
        assertThrows(
            AgreementException.class,
            () ->
                board
                    .desk()
                    .take(InstanceKind.ROUTER, "r3", "by hand too", Unavailability.of(Map.of())));
    assertTrue(e.getMessage().startsWith("no place is free: at most 1 of west"), e.getMessage());
    board.desk().giveBack(InstanceKind.ROUTER, "r4", "done");
    assertNotNull(drive(0, Map.of()));
    assertEquals(2, board.scene().counter(), "a number is never given again");
  }

  @Test
  void onePartThatDoesNotGetReadyTakesTheReleaseBack() throws AgreementException {
    begin(2, 2, 0);
    all(0);
    act("r1", true);
    all(0);
    act("r2", false);
    all(0);
    assertEquals(RolloutState.Mode.BACKING, board.scene().course().mode());
    assertEquals("r2 did not get ready: status 1", board.scene().course().why());
    // In the reverse order: what was not begun at once, then what runs the new.
    assertEquals(RolloutStep.Phase.UNDONE, phase("r3"));
    assertEquals(InstanceVariant.OLD, board.scene().steps().get("r2").variant());
    assertEquals(InstanceVariant.OLD, board.scene().steps().get("r1").variant());
    act("r2", true);
    act("r1", true);
    all(0);
    assertEquals(RolloutState.Mode.BACK, board.scene().course().mode());
    assertTrue(board.scene().permits().isEmpty());
  }

  /**
   * Compared with the parts that were not changed, over the same time, once there are enough
   * answers.
   */
  @Test
  void aPartThatDoesWorseThanTheOthersTakesTheReleaseBack() throws AgreementException {
    begin(1, 1, 10);
    board.health("r1", 500, 500);
    board.health("r2", 900, 100);
    all(0);
    act("r1", true);
    assertNull(drive(0, Map.of()));
    board.health("r1", 505, 500);
    board.health("r2", 910, 100);
    assertNull(drive(1, Map.of()));
    assertTrue(driver.waits().startsWith("r1 is watched: 0.000 of 5 answers bad"), driver.waits());
    board.health("r1", 505, 507);
    assertEquals(
        "goes back: r1 does worse: 0.583 of 12 answers bad, 0.000 of 10 at 1 others",
        drive(2, Map.of()));
  }

  /**
   * What harms may take minutes to do so: those that stood the check are watched while others are
   * unchanged.
   */
  @Test
  void onePartThatTurnsBadAfterItsCheckTakesTheReleaseBack() throws AgreementException {
    begin(1, 1, 10);
    all(0);
    act("r1", true);
    board.health("r4", 0, 0);
    assertNull(drive(0, Map.of()));
    board.health("r1", 20, 0);
    board.health("r4", 100, 0);
    assertEquals(
        "r1 has stood the check: 0.000 of 20 answers bad, 0.000 of 100 at 1 others",
        drive(1, Map.of()));
    all(1);
    board.health("r1", 60, 40);
    board.health("r4", 190, 10);
    assertEquals(
        "goes back: r1 does worse since it stood the check: 0.500 of 80 answers bad,"
            + " 0.100 of 100 at 1 others",
        drive(2, Map.of()));
  }

  /** Over few answers one failure more is chance: it is watched until there are enough. */
  @Test
  void whatMayBeChanceIsWatchedOn() throws AgreementException {
    begin(1, 1, 10);
    board.health("r2", 0, 0);
    all(0);
    act("r1", true);
    assertNull(drive(0, Map.of()));
    board.health("r1", 9, 2);
    board.health("r2", 20, 0);
    assertNull(drive(1, Map.of()));
    board.health("r1", 90, 20);
    board.health("r2", 200, 0);
    assertEquals(
        "goes back: r1 does worse: 0.182 of 110 answers bad, 0.000 of 200 at 1 others",
        drive(2, Map.of()));
  }

  /** In a site that is cut off one that has just started does worse than those that know of it. */
  @Test
  void whileOthersAreGoneByThemselvesOnlyWhatMostlyFailsIsTheReleases() throws AgreementException {
    Map<String, String> gone = Map.of("r4", "holds no lease");
    begin(2, 2, 10);
    board.health("r2", 0, 0);
    all(0);
    act("r1", true);
    assertNull(drive(0, gone));
    board.health("r1", 60, 40);
    board.health("r2", 100, 0);
    assertNull(drive(1, gone));
    assertTrue(
        driver.waits().startsWith("r1 is watched: others are gone by themselves"), driver.waits());
    assertNull(drive(2, Map.of()));
    board.health("r1", 160, 40);
    board.health("r2", 200, 0);
    assertEquals(
        "r1 has stood the check: 0.000 of 100 answers bad, 0.000 of 100 at 1 others",
        drive(3, Map.of()),
        "compared from when all were back");
    begin(2, 2, 10);
    board.health("r2", 0, 0);
    all(0);
    act("r1", true);
    assertNull(drive(0, gone));
    board.health("r1", 40, 60);
    board.health("r2", 100, 0);
    assertEquals(
        "goes back: r1 does worse: 0.600 of 100 answers bad, 0.000 of 100 at 1 others",
        drive(1, gone));
  }

  /** Its agent was cut off meanwhile: what it answered in that time is compared with nobody's. */
  @Test
  void whatAProcessAnsweredBeforeItWasHeardOfDoesNotCount() throws AgreementException {
    begin(1, 1, 10);
    board.health("r2", 0, 0);
    board.health("r1", "old", 900, 0);
    all(0);
    act("r1", true);
    assertNull(drive(0, Map.of()));
    board.health("r1", "new", 60, 40);
    board.health("r2", 1000, 0);
    assertNull(drive(1, Map.of()));
    board.health("r1", "new", 160, 40);
    board.health("r2", 1100, 0);
    assertEquals(
        "r1 has stood the check: 0.000 of 100 answers bad, 0.000 of 100 at 1 others",
        drive(2, Map.of()));
  }

  /**
   * With one out and one that fails the others of its site must carry what the site carries now.
   */
  @Test
  void aStepWaitsWhileItsSiteCouldNotCarryItsLoad() throws AgreementException {
    board = new InMemoryStore();
    ReleaseFleet.Group group =
        new ReleaseFleet.Group(
            1,
            1,
            new TreeMap<>(Map.of("east", List.of("r1", "r2", "r3"), "west", List.of("r4", "r5"))),
            new ReleaseFleet.Capacity(100, 0, 1));
    board.desk().fleet(new ReleaseFleet(Map.of(InstanceKind.ROUTER, group)));
    AgreementException e =
        assertThrows(AgreementException.class, () -> board.begin(0, List.of(List.of("r4"))));
    assertEquals("west has 2 routers: with 1 out and 1 that fail none is left", e.getMessage());
    board.begin(0, List.of(List.of("r1")));
    assertTrue(board.held(driver.take(board.scene(), 1)));
    List.of("r1", "r2", "r3").forEach(id -> board.health(id, 0, 0));
    assertNull(drive(0, Map.of()));
    assertEquals("r1: what its site carries is measured", driver.waits());
    List.of("r1", "r2", "r3").forEach(id -> board.health(id, 40, 0));
    assertNull(drive(1_000_000_000, Map.of()));
    assertEquals(
        "r1: east carries 120.0 answers a second, and 1 routers would be left with 1 that fail,"
            + " for 100.0 each",
        driver.waits());
    assertNull(drive(2_000_000_000, Map.of("r3", "holds no lease")));
    assertTrue(driver.waits().contains("r3 (holds no lease)"), driver.waits());
    List.of("r1", "r2", "r3").forEach(id -> board.health(id, 50, 0));
    assertNotNull(drive(2_000_000_000, Map.of()), "30 answers in the last second");
  }

  /** A check that compares with nobody is none. */
  @Test
  void withoutAnswersOfTheOthersItIsWatchedOn() throws AgreementException {
    begin(1, 1, 10);
    board.health("r2", 500, 0);
    all(0);
    act("r1", true);
    assertNull(drive(0, Map.of()));
    board.health("r1", 100, 0);
    assertNull(drive(1, Map.of()));
    assertEquals("r1 is watched: 0.000 of 100 answers bad, 0.000 of 0 at 1 others", driver.waits());
  }

  @Test
  void troubleThatAllHaveIsNotTheReleases() throws AgreementException {
    begin(1, 1, 10);
    board.health("r1", 0, 0);
    board.health("r2", 900, 100);
    all(0);
    act("r1", true);
    assertNull(drive(0, Map.of()));
    board.health("r1", 10, 10);
    board.health("r2", 910, 110);
    assertEquals(
        "r1 has stood the check: 0.500 of 20 answers bad, 0.500 of 20 at 1 others",
        drive(1, Map.of()));
  }

  @Test
  void aHaltBindsAgentsThatHaveNotBegunAndItsEndLetsThemGoOn() throws AgreementException {
    begin(1, 1, 0);
    all(0);
    RolloutAgent agent = board.agent("r1", "a", TIMEOUT);
    RolloutTransaction late = agent.due(board.scene(), 0);
    board.desk().halt("wait");
    assertFalse(board.held(late), "what was decided before the halt holds no more");
    assertNull(agent.answered(false, 0));
    assertNull(agent.due(board.scene(), 0));
    assertNull(drive(0, Map.of()));
    board.desk().resume("on");
    assertNotNull(agent.answered(board.held(agent.due(board.scene(), 0)), 0));
    assertThrows(AgreementException.class, () -> board.desk().resume("again"));
  }

  /** Two agents beside one part: the second has no seat until the lease of the first is over. */
  @Test
  void onlyOneAgentActsOnAPart() throws AgreementException {
    begin(1, 1, 0);
    all(0);
    RolloutAgent first = board.agent("r1", "a", TIMEOUT);
    RolloutAgent second = board.agent("r1", "b", TIMEOUT);
    assertNull(second.due(board.scene(), 0));
    RolloutTransaction begins = first.due(board.scene(), 0);
    board.agentGone("r1");
    assertTrue(board.held(second.take(board.scene(), 1)));
    assertFalse(board.held(begins), "its seat is another's");
    assertNotNull(second.due(board.scene(), 0));
  }

  /** The transaction held; the answer came too late to act on it, so that it is made again. */
  @Test
  void anAnswerThatComesLateAllowsNothing() throws AgreementException {
    begin(1, 1, 0);
    all(0);
    RolloutAgent agent = board.agent("r1", "a", TIMEOUT);
    assertNull(agent.answered(board.held(agent.due(board.scene(), 0)), TIMEOUT + 1));
    assertEquals(RolloutStep.Phase.BEGUN, phase("r1"));
    board.desk().halt("wait");
    assertNull(agent.due(board.scene(), TIMEOUT + 2));
    board.desk().resume("on");
    assertEquals(
        InstanceVariant.NEW,
        agent.answered(board.held(agent.due(board.scene(), TIMEOUT + 3)), TIMEOUT + 4));
  }

  @Test
  void aDriverThatWasReplacedCanDoNothingWithWhatItKnew() throws AgreementException {
    begin(1, 1, 0);
    RolloutTransaction old = driver.due(board.scene(), Unavailability.of(Map.of()), 0);
    board.driverGone();
    RolloutDriver next = new RolloutDriver(InMemoryStore.KEYS, "d2", () -> "");
    assertTrue(board.held(next.take(board.scene(), 2)));
    assertFalse(board.held(old));
    assertNull(driver.due(board.scene(), Unavailability.of(Map.of()), 0));
    assertNotNull(next.due(board.scene(), Unavailability.of(Map.of()), 0));
  }

  /** With the store out of reach what failed is brought back by its agent, if the plan says so. */
  @Test
  void anAgentAloneBringsBackWhatFailed() throws AgreementException {
    begin(1, 1, 0);
    all(0);
    RolloutAgent agent = board.agent("r1", "a", TIMEOUT);
    assertNotNull(agent.answered(board.held(agent.due(board.scene(), 0)), 0));
    agent.ended(false, "status 1", 10);
    RolloutPlan plan =
        new RolloutPlan(
            1, InstanceKind.ROUTER, WAVES, 0, 0, RegressionBounds.of(0), 1, 50, "", null, "");
    assertNull(agent.alone(plan, 59));
    assertEquals(InstanceVariant.OLD, agent.alone(plan, 60));
    agent.ended(true, "", 70);
    assertTrue(board.held(agent.due(board.scene(), 80)));
    assertEquals("goes back: r1 was brought back by its agent: ", drive(90, Map.of()));
    all(90);
    assertEquals(RolloutState.Mode.BACK, board.scene().course().mode());
  }

  @Test
  void aPartThatIsDeclaredLostGivesItsPlaceBackAndItsAgentCanDoNothing() throws AgreementException {
    begin(1, 1, 0);
    all(0);
    RolloutAgent agent = board.agent("r1", "a", TIMEOUT);
    RolloutTransaction begins = agent.due(board.scene(), 0);
    board.desk().giveBack(InstanceKind.ROUTER, "r1", "its machine burnt");
    assertFalse(board.held(begins));
    assertTrue(board.scene().permits().isEmpty());
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
        RolloutPlan.usual(some.scene().fleet().group(InstanceKind.ROUTER)));
  }
}
