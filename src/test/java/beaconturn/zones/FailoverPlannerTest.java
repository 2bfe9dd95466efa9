package beaconturn.zones;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beaconturn.agreement.AgreementException;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Places that fail, come back, flap, are cut off, or are lied about, in virtual time. */
class FailoverPlannerTest {
  private static final long SECOND = SimulatedZones.SECOND;
  private static final Map<String, String> THREE =
      Map.of("east", "one", "west", "one", "far", "two");

  /**
   * Three places, four routers each, at so many requests a second in each place; a place carries
   * 900.
   */
  private static SimulatedZones three(double inPlace) {
    SimulatedZones world = new SimulatedZones(1, THREE, 4, inPlace / 4, 100);
    world.run(5 * SECOND);
    return world;
  }

  private static void calm(SimulatedZones world) {
    world
        .plan()
        .allocations()
        .forEach(
            (place, row) ->
                assertTrue(
                    row.weightOf(place)
                        >= ZoneAllocation.TOTAL_WEIGHT - ZoneAllocation.TRIAL_WEIGHT,
                    place + " " + row.weights() + "\n" + world.said()));
  }

  @Test
  void onCalmDaysOnlyTrialsGoElsewhere() {
    SimulatedZones world = three(400);
    world.run(60 * SECOND);
    calm(world);
    assertEquals(0, world.plan().number(), world.said());
  }

  @Test
  void aPlaceThatIsLostGoesToTheNearestWithinSecondsAndComesBackBySteps() {
    SimulatedZones world = three(400);
    world.simulatedZones.get("east").bad = true;
    world.run(5 * SECOND);
    assertTrue(world.served("east", SECOND) > 0.9, world.said());
    assertEquals(ZoneState.FAILED_OVER, world.plan().states().get("east"));
    assertEquals(
        ZoneAllocation.TOTAL_WEIGHT - ZoneAllocation.HOME_TRIAL_WEIGHT,
        world.plan().allocationOf("east").weightOf("west"),
        "the near one has the room");
    assertEquals(0, world.plan().allocationOf("east").weightOf("far"));
    assertTrue(world.peak("west") < 1, "nobody is pushed over");
    world.simulatedZones.get("east").bad = false;
    while (world.plan().allocationOf("east").weightOf("east") == ZoneAllocation.HOME_TRIAL_WEIGHT) {
      world.run(SECOND / 4);
      assertTrue(world.scheduler.now() < 30 * SECOND, world.said());
    }
    int back = world.plan().allocationOf("east").weightOf("east");
    assertTrue(
        back > ZoneAllocation.HOME_TRIAL_WEIGHT && back < ZoneAllocation.TOTAL_WEIGHT / 2,
        "by steps: " + back + "\n" + world.said());
    world.run(20 * SECOND);
    calm(world);
    assertEquals(ZoneState.NEAR, world.plan().states().get("east"));
  }

  /**
   * Both others together have room for half of it: that much goes, and the rest is refused at once.
   */
  @Test
  void noMoreGoesThanTheOthersCarryWithOneOfTheirCacheServersGone() {
    SimulatedZones world = three(700);
    world.simulatedZones.get("east").bad = true;
    world.run(10 * SECOND);
    world.peak("west");
    world.peak("far");
    double served = world.served("east", 5 * SECOND);
    assertTrue(served > 0.45 && served < 0.65, served + "\n" + world.said());
    assertTrue(world.peak("west") <= 0.95 && world.peak("far") <= 0.95, "with one to spare");
  }

  @Test
  void whatAPlaceCannotCarryGoesOnInPartAndTheSameKeysFirst() {
    SimulatedZones world = three(400);
    world.of("east");
    world.simulatedZones.get("east").warm = 4;
    world.run(10 * SECOND);
    ZoneAllocation row = world.plan().allocationOf("east");
    assertEquals(ZoneState.SPILLING, world.plan().states().get("east"), world.said());
    assertTrue(
        row.weightOf("east") >= 650 && row.weightOf("east") <= 800 && row.weightOf("west") >= 200,
        row.weights().toString());
    world.simulatedZones.get("east").warm = 10;
    world.run(20 * SECOND);
    calm(world);
  }

  /**
   * A spill ends at four fifths of what is carried, or where no more than that is wanted for long.
   */
  @Test
  void aPlaceThatCarriesAllThatIsWantedAgainTakesItsKeysBackInTheEnd() {
    SimulatedZones world = three(750);
    world.simulatedZones.get("east").warm = 7;
    world.run(10 * SECOND);
    assertEquals(ZoneState.SPILLING, world.plan().states().get("east"), world.said());
    world.simulatedZones.get("east").warm = 10;
    world.run(30 * SECOND);
    assertEquals(
        ZoneState.SPILLING, world.plan().states().get("east"), "not at once\n" + world.said());
    world.run(60 * SECOND);
    calm(world);
  }

  /**
   * A place that is cut off from the store serves near, also when its reports are gone from there:
   * its room is not free, neither for who saw it before nor for an office that has never heard it.
   */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void thePartOfAPlaceThatIsCutOffIsNotFree(boolean newOffice) throws AgreementException {
    SimulatedZones world = three(700);
    world.of("west").forEach(s -> s.cut = true);
    world.run(10 * SECOND);
    if (newOffice) {
      String office = world.admin().readSnapshot().leader();
      world.simulatedRouters.stream()
          .filter(s -> office.startsWith(s.name + "/"))
          .forEach(
              s -> {
                s.die();
                s.start();
              });
      world.run(5 * SECOND);
    }
    world.simulatedZones.get("east").bad = true;
    world.run(20 * SECOND);
    assertTrue(
        world.plan().allocationOf("east").weightOf("far") > 150,
        "what is heard takes its part\n" + world.said());
    world.peak("west");
    world.run(20 * SECOND);
    assertTrue(world.peak("west") <= 0.95, "with one to spare\n" + world.said());
    assertNull(world.pushed);
  }

  /**
   * Nobody knows what a place lists that is cut off: all that are heard say that the other one is
   * gone.
   */
  @Test
  void aPlaceThatNobodyHasInTheListIsLeftAlsoWhileAnotherIsCutOff() {
    SimulatedZones world = three(400);
    world.of("west").forEach(s -> s.cut = true);
    world.run(10 * SECOND);
    world.simulatedZones.get("east").listed = 0;
    world.run(6 * SECOND);
    assertEquals(
        ZoneAllocation.HOME_TRIAL_WEIGHT,
        world.plan().allocationOf("east").weightOf("east"),
        world.said());
  }

  /**
   * One that is cut off serves on, also for an office that takes over meanwhile; one that was
   * killed leaves its clients to the others, and after a while its part is not counted twice.
   */
  @Test
  void whatOneRouterTookThatIsNotHeardIsCountedForAWhile() throws AgreementException {
    SimulatedZones world = three(700);
    world.of("west").get(0).cut = true;
    world.run(3 * SECOND);
    String office = world.admin().readSnapshot().leader();
    world.simulatedRouters.stream()
        .filter(s -> office.startsWith(s.name + "/"))
        .forEach(SimulatedZones.SimulatedRouter::die);
    world.run(6 * SECOND);
    world.simulatedZones.get("east").bad = true;
    world.run(10 * SECOND);
    assertTrue(world.plan().allocationOf("east").weightOf("west") < 320, world.said());
    world.run(90 * SECOND);
    assertTrue(world.plan().allocationOf("east").weightOf("west") > 400, world.said());
  }

  /** The origin slow: all places are bad at once, and moving mends nothing. */
  @Test
  void whatAllSufferFromMovesNothing() {
    SimulatedZones world = three(400);
    world.simulatedZones.values().forEach(s -> s.bad = true);
    world.run(20 * SECOND);
    calm(world);
    world.simulatedZones.values().forEach(s -> s.bad = false);
    world.run(10 * SECOND);
    assertEquals(0, world.plan().number(), world.said());
  }

  /** Most places get bad, and good again, some seconds after each other: it is still one cause. */
  @Test
  void whatMostSufferFromMovesNothingAlsoWhenItDoesNotEndAtOnce() {
    SimulatedZones world = three(400);
    world.simulatedZones.get("east").bad = true;
    world.run(SECOND / 2);
    world.simulatedZones.get("west").bad = true;
    world.run(15 * SECOND);
    calm(world);
    world.simulatedZones.get("west").bad = false;
    world.run(3 * SECOND);
    calm(world);
    world.simulatedZones.get("east").bad = false;
    world.run(10 * SECOND);
    assertEquals(0, world.plan().number(), world.said());
  }

  /**
   * A cause that all share makes most attempts fail in one place, and not quite most in the others.
   */
  @Test
  void whatAllSufferFromAboutAlikeMovesNothing() {
    SimulatedZones world = three(400);
    world.simulatedZones.get("east").fails = 0.6;
    world.simulatedZones.get("west").fails = 0.45;
    world.simulatedZones.get("far").fails = 0.4;
    world.run(20 * SECOND);
    calm(world);
    assertEquals(0, world.plan().number(), world.said());
    world.simulatedZones.get("west").fails = 0.05;
    world.run(5 * SECOND);
    assertTrue(
        world.plan().allocationOf("east").weightOf("west") > 900,
        "one that is clearly better\n" + world.said());
  }

  /**
   * All get slow, and one fails for it before the others do; nearly dead it would be left all the
   * same.
   */
  @Test
  void wherePlacesAreSlowAndOneFailsFirstNothingMoves() {
    SimulatedZones world = three(400);
    world.run(10 * SECOND);
    world.simulatedZones.values().forEach(s -> s.micros = 4000);
    world.run(2 * SECOND);
    world.simulatedZones.get("east").fails = 0.7;
    world.run(10 * SECOND);
    assertEquals(0, world.plan().number(), world.said());
    world.simulatedZones.get("east").fails = 1;
    world.run(5 * SECOND);
    assertTrue(world.plan().allocationOf("east").weightOf("west") > 900, world.said());
  }

  /**
   * A region is lost and the other has little room: what differs by chance from one second to the
   * next is no reason for another plan, and nobody spills while it does not want more than it
   * carries.
   */
  @Test
  void roomThatDiffersByChanceIsNoReasonForPlans() {
    Map<String, String> regions = Map.of("a", "one", "b", "one", "c", "two", "d", "two");
    SimulatedZones world = new SimulatedZones(4, regions, 2, 30, 8.7);
    world.byChance = true;
    world.run(20 * SECOND);
    assertEquals(0, world.plan().number(), world.said());
    world.simulatedZones.get("a").bad = true;
    world.run(3 * SECOND);
    world.simulatedZones.get("b").bad = true;
    world.run(60 * SECOND);
    assertTrue(world.plan().number() < 30, world.plan().number() + " plans\n" + world.said());
    assertNull(world.pushed);
  }

  /** One after the other, as the first is away by then. */
  @Test
  void wherePlacesThatReceiveFailTooTheirPartGoesOn() {
    SimulatedZones world = three(250);
    world.simulatedZones.get("east").bad = true;
    world.run(8 * SECOND);
    world.simulatedZones.get("west").bad = true;
    world.run(8 * SECOND);
    assertTrue(
        world.served("east", SECOND) > 0.9 && world.served("west", SECOND) > 0.9, world.said());
  }

  @ParameterizedTest
  @ValueSource(strings = {"bad", "good", "stuck"})
  void oneRouterThatLiesMovesNothingAlone(String lie) {
    SimulatedZones world = three(400);
    world.simulatedRouters.get(0).lies = lie;
    world.run(30 * SECOND);
    calm(world);
    world.simulatedZones.get("east").bad = true;
    world.run(8 * SECOND);
    assertTrue(
        world.served("east", SECOND) > 0.9, "it does not hold a move up either\n" + world.said());
  }

  /** Nobody asks one place, as after its last client, and nobody has tried it of late. */
  @Test
  void oneRouterThatFindsAllEjectedMovesNothingWhereNobodyAsks() {
    SimulatedZones world = new SimulatedZones(1, THREE, 2, 10, 100);
    world.of("west").forEach(s -> s.perSecond = 0);
    world.simulatedRouters.get(0).lies = "ejected";
    world.run(30 * SECOND);
    assertEquals(0, world.plan().number(), world.said());
  }

  /**
   * A zone that is cut off serves near; the others do not take it for granted that its part is
   * free.
   */
  @Test
  void aPlaceThatIsCutOffServesNearAndUsesOnlyItsReserveElsewhere() {
    SimulatedZones world = three(400);
    world
        .of("east")
        .forEach(
            s -> {
              s.cut = true;
              s.unreachable.add("west");
              s.unreachable.add("far");
            });
    world.run(5 * SECOND);
    assertTrue(world.served("east", 5 * SECOND) > 0.98);
    // Its own cache servers fail too, and it reaches west again: it may use what every plan leaves
    // to it.
    world.of("east").forEach(s -> s.unreachable.clear());
    world.simulatedZones.get("east").bad = true;
    world.run(6 * SECOND);
    double served = world.served("east", 5 * SECOND);
    assertTrue(served > 0.03 && served < 0.07, served + "\n" + world.said());
    world.of("east").forEach(s -> s.cut = false);
    world.run(6 * SECOND);
    assertTrue(world.served("east", SECOND) > 0.9, world.said());
  }

  /** Only its own routers do not reach it: their way is broken, and the others go on with it. */
  @Test
  void aBrokenWayIsToldFromABrokenPlace() {
    SimulatedZones world = three(400);
    world.of("east").forEach(s -> s.unreachable.add("east"));
    world.run(8 * SECOND);
    assertTrue(world.served("east", SECOND) > 0.9, world.said());
    assertEquals(ZoneState.SPLIT, world.plan().states().get("east"), world.said());
  }

  @Test
  void onePlaceThatFlapsStaysOutLongerEachTime() {
    SimulatedZones world = three(400);
    long before = 0;
    for (int i = 0; i < 3; i++) {
      world.simulatedZones.get("east").bad = true;
      world.run(6 * SECOND);
      world.simulatedZones.get("east").bad = false;
      long since = world.scheduler.now();
      while (world.plan().allocationOf("east").weightOf("east")
          <= ZoneAllocation.HOME_TRIAL_WEIGHT) {
        world.run(SECOND / 4);
        assertTrue(world.scheduler.now() - since < 70 * SECOND, world.said());
      }
      long out = world.scheduler.now() - since;
      assertTrue(out > before, out / SECOND + " s out after " + before / SECOND);
      before = out;
      world.run(6 * SECOND);
    }
  }

  /** Whoever holds the office dies with its zone: another takes it, with its own evidence. */
  @Test
  void theOfficeIsTakenByAnotherWhereItsHolderIsInTheLostPlace() throws AgreementException {
    SimulatedZones world = three(400);
    String office = world.admin().readSnapshot().leader();
    String home =
        world.simulatedRouters.stream()
            .filter(s -> office.startsWith(s.name + "/"))
            .findFirst()
            .orElseThrow()
            .home;
    world.of(home).forEach(SimulatedZones.SimulatedRouter::die);
    world.simulatedZones.get(home).bad = true;
    String other = world.topology.othersByDistance(home).get(0);
    world.run(6 * SECOND);
    assertTrue(
        !world.admin().readSnapshot().leader().equals(office)
            && !world.admin().readSnapshot().leader().isEmpty());
    world.simulatedZones.get(other).bad = true;
    world.run(8 * SECOND);
    assertTrue(world.served(other, SECOND) > 0.9, world.said());
  }

  /**
   * Whoever holds the office is ended, again and again: nothing moves for that, and a lost zone
   * moves.
   */
  @Test
  void anOfficeThatFlapsMovesNothingByItselfAndStillMovesWhatIsLost() throws AgreementException {
    SimulatedZones world = three(400);
    for (int i = 0; i < 12; i++) {
      world.simulatedZones.get("east").bad = i >= 6;
      String office = world.admin().readSnapshot().leader();
      SimulatedZones.SimulatedRouter holder =
          world.simulatedRouters.stream()
              .filter(s -> office.startsWith(s.name + "/"))
              .findFirst()
              .orElse(world.simulatedRouters.get(0));
      holder.die();
      world.run(2 * SECOND);
      holder.start();
      world.run(4 * SECOND);
      assertTrue(i >= 6 || world.plan().number() == 0, world.said());
    }
    assertTrue(world.served("east", SECOND) > 0.9, world.said());
    assertNull(world.pushed);
  }

  @Test
  void whatOperatorsSayWinsAndEndsByItself() throws AgreementException {
    SimulatedZones world = three(400);
    world
        .admin()
        .setOverride(
            new ZoneOverride("east", ZoneOverrideKind.DRAIN, 0, 20 * SECOND, "op", "work on it"));
    world.run(6 * SECOND);
    assertEquals(
        ZoneAllocation.HOME_TRIAL_WEIGHT,
        world.plan().allocationOf("east").weightOf("east"),
        world.said());
    assertEquals(
        "only one zone may be out of service at a time, and out of service is east (failed over,"
            + " drained by op: work on it)",
        assertThrows(
                AgreementException.class,
                () ->
                    world
                        .admin()
                        .setOverride(
                            new ZoneOverride("west", ZoneOverrideKind.DRAIN, 0, 0, "op", "too")))
            .getMessage());
    world.run(30 * SECOND);
    calm(world);
    world
        .admin()
        .setOverride(new ZoneOverride("west", ZoneOverrideKind.WEIGHT, 600, 0, "op", "less"));
    world.run(6 * SECOND);
    assertEquals(600, world.plan().allocationOf("west").weightOf("west"), world.said());
    world.admin().setOverride(new ZoneOverride("west", ZoneOverrideKind.HOLD, 0, 0, "op", "stay"));
    world.simulatedZones.get("west").bad = true;
    world.run(10 * SECOND);
    assertEquals(600, world.plan().allocationOf("west").weightOf("west"));
    world.admin().clearOverride("west");
    world.run(6 * SECOND);
    assertEquals(
        ZoneAllocation.HOME_TRIAL_WEIGHT,
        world.plan().allocationOf("west").weightOf("west"),
        world.said());
  }
}
