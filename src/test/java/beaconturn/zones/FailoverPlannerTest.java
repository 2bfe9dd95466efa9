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

/** Tests failover plans for zones that fail, recover, flap or are cut off, in virtual time. */
class FailoverPlannerTest {
  private static final long SECOND_NANOS = SimulatedZones.SECOND_NANOS;
  private static final Map<String, String> THREE =
      Map.of("east", "one", "west", "one", "far", "two");

  /**
   * Creates three zones with four routers each and the given demand in each zone. A zone serves 900
   * requests per second after the loss of one cache server.
   */
  private static SimulatedZones threeZones(double requestsPerSecond) {
    SimulatedZones simulation = new SimulatedZones(1, THREE, 4, requestsPerSecond / 4, 100);
    simulation.run(5 * SECOND_NANOS);
    return simulation;
  }

  private static void assertServedAtHome(SimulatedZones simulation) {
    simulation
        .plan()
        .allocations()
        .forEach(
            (zone, allocation) ->
                assertTrue(
                    allocation.weightOf(zone)
                        >= ZoneAllocation.TOTAL_WEIGHT - ZoneAllocation.TRIAL_WEIGHT,
                    zone + " " + allocation.weights() + "\n" + simulation.logText()));
  }

  @Test
  void sendsOnlyTrialsElsewhereWithoutFaults() {
    SimulatedZones simulation = threeZones(400);
    simulation.run(60 * SECOND_NANOS);
    assertServedAtHome(simulation);
    assertEquals(0, simulation.plan().number(), simulation.logText());
  }

  @Test
  void failsOverToNearestZoneWithinSecondsAndReturnsInSteps() {
    SimulatedZones simulation = threeZones(400);
    simulation.zones.get("east").unavailable = true;
    simulation.run(5 * SECOND_NANOS);
    assertTrue(simulation.servedShare("east", SECOND_NANOS) > 0.9, simulation.logText());
    assertEquals(ZoneState.FAILED_OVER, simulation.plan().states().get("east"));
    assertEquals(
        ZoneAllocation.TOTAL_WEIGHT - ZoneAllocation.HOME_TRIAL_WEIGHT,
        simulation.plan().allocationOf("east").weightOf("west"),
        "the nearest zone has the spare capacity");
    assertEquals(0, simulation.plan().allocationOf("east").weightOf("far"));
    assertTrue(simulation.peakUtilization("west") < 1, "no zone is overloaded");
    simulation.zones.get("east").unavailable = false;
    while (simulation.plan().allocationOf("east").weightOf("east")
        == ZoneAllocation.HOME_TRIAL_WEIGHT) {
      simulation.run(SECOND_NANOS / 4);
      assertTrue(simulation.scheduler.now() < 30 * SECOND_NANOS, simulation.logText());
    }
    int returnedWeight = simulation.plan().allocationOf("east").weightOf("east");
    assertTrue(
        returnedWeight > ZoneAllocation.HOME_TRIAL_WEIGHT
            && returnedWeight < ZoneAllocation.TOTAL_WEIGHT / 2,
        "returns in steps: " + returnedWeight + "\n" + simulation.logText());
    simulation.run(20 * SECOND_NANOS);
    assertServedAtHome(simulation);
    assertEquals(ZoneState.NEAR, simulation.plan().states().get("east"));
  }

  /** The other zones together have spare capacity for half of the demand; the rest is rejected. */
  @Test
  void movesNoMoreThanSpareCapacityWithOneServerLost() {
    SimulatedZones simulation = threeZones(700);
    simulation.zones.get("east").unavailable = true;
    simulation.run(10 * SECOND_NANOS);
    simulation.peakUtilization("west");
    simulation.peakUtilization("far");
    double served = simulation.servedShare("east", 5 * SECOND_NANOS);
    assertTrue(served > 0.45 && served < 0.65, served + "\n" + simulation.logText());
    assertTrue(
        simulation.peakUtilization("west") <= 0.95 && simulation.peakUtilization("far") <= 0.95,
        "stays within the capacity with one server lost");
  }

  @Test
  void spillsOnlyTheDemandAboveCapacity() {
    SimulatedZones simulation = threeZones(400);
    simulation.routersOf("east");
    simulation.zones.get("east").warmServers = 4;
    simulation.run(10 * SECOND_NANOS);
    ZoneAllocation allocation = simulation.plan().allocationOf("east");
    assertEquals(ZoneState.SPILLING, simulation.plan().states().get("east"), simulation.logText());
    assertTrue(
        allocation.weightOf("east") >= 650
            && allocation.weightOf("east") <= 800
            && allocation.weightOf("west") >= 200,
        allocation.weights().toString());
    simulation.zones.get("east").warmServers = 10;
    simulation.run(20 * SECOND_NANOS);
    assertServedAtHome(simulation);
  }

  /**
   * A spill ends at once at 80 % utilization, and above that only after demand has stayed within
   * the capacity for a while.
   */
  @Test
  void endsSpillAfterDemandHasStayedWithinCapacity() {
    SimulatedZones simulation = threeZones(750);
    simulation.zones.get("east").warmServers = 7;
    simulation.run(10 * SECOND_NANOS);
    assertEquals(ZoneState.SPILLING, simulation.plan().states().get("east"), simulation.logText());
    simulation.zones.get("east").warmServers = 10;
    simulation.run(30 * SECOND_NANOS);
    assertEquals(
        ZoneState.SPILLING,
        simulation.plan().states().get("east"),
        "the spill does not end at once\n" + simulation.logText());
    simulation.run(60 * SECOND_NANOS);
    assertServedAtHome(simulation);
  }

  /**
   * A zone that is cut off from the store serves its own keys. Its capacity must not be given away,
   * neither by a leader that received its reports earlier nor by a new leader that never did.
   */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void reservesCapacityOfZoneThatIsCutOffFromTheStore(boolean newLeader) throws AgreementException {
    SimulatedZones simulation = threeZones(700);
    simulation.routersOf("west").forEach(router -> router.storeUnreachable = true);
    simulation.run(10 * SECOND_NANOS);
    if (newLeader) {
      String leader = simulation.admin().readSnapshot().leader();
      simulation.routers.stream()
          .filter(router -> leader.startsWith(router.name + "/"))
          .forEach(
              router -> {
                router.kill();
                router.start();
              });
      simulation.run(5 * SECOND_NANOS);
    }
    simulation.zones.get("east").unavailable = true;
    simulation.run(20 * SECOND_NANOS);
    assertTrue(
        simulation.plan().allocationOf("east").weightOf("far") > 150,
        "the zone that reports takes its share\n" + simulation.logText());
    simulation.peakUtilization("west");
    simulation.run(20 * SECOND_NANOS);
    assertTrue(
        simulation.peakUtilization("west") <= 0.95,
        "stays within the capacity with one server lost\n" + simulation.logText());
    assertNull(simulation.overload);
  }

  /**
   * A zone that is cut off does not report its endpoint list; the lists of all other zones decide.
   */
  @Test
  void evacuatesUnlistedZoneWhileAnotherIsCutOff() {
    SimulatedZones simulation = threeZones(400);
    simulation.routersOf("west").forEach(router -> router.storeUnreachable = true);
    simulation.run(10 * SECOND_NANOS);
    simulation.zones.get("east").listedServers = 0;
    simulation.run(6 * SECOND_NANOS);
    assertEquals(
        ZoneAllocation.HOME_TRIAL_WEIGHT,
        simulation.plan().allocationOf("east").weightOf("east"),
        simulation.logText());
  }

  /**
   * A silent router may be cut off and still serve requests, also when the leader changes. It may
   * also have been killed; then its clients move to other routers, and their traffic must not be
   * counted twice for long.
   */
  @Test
  void countsTrafficOfSilentRouterForLimitedTime() throws AgreementException {
    SimulatedZones simulation = threeZones(700);
    simulation.routersOf("west").get(0).storeUnreachable = true;
    simulation.run(3 * SECOND_NANOS);
    String leader = simulation.admin().readSnapshot().leader();
    simulation.routers.stream()
        .filter(router -> leader.startsWith(router.name + "/"))
        .forEach(SimulatedZones.SimulatedRouter::kill);
    simulation.run(6 * SECOND_NANOS);
    simulation.zones.get("east").unavailable = true;
    simulation.run(10 * SECOND_NANOS);
    assertTrue(simulation.plan().allocationOf("east").weightOf("west") < 320, simulation.logText());
    simulation.run(90 * SECOND_NANOS);
    assertTrue(simulation.plan().allocationOf("east").weightOf("west") > 400, simulation.logText());
  }

  @Test
  void movesNothingWhenAllZonesFail() {
    SimulatedZones simulation = threeZones(400);
    simulation.zones.values().forEach(zone -> zone.unavailable = true);
    simulation.run(20 * SECOND_NANOS);
    assertServedAtHome(simulation);
    simulation.zones.values().forEach(zone -> zone.unavailable = false);
    simulation.run(10 * SECOND_NANOS);
    assertEquals(0, simulation.plan().number(), simulation.logText());
  }

  @Test
  void movesNothingWhenMostZonesFailAndRecoverAtDifferentTimes() {
    SimulatedZones simulation = threeZones(400);
    simulation.zones.get("east").unavailable = true;
    simulation.run(SECOND_NANOS / 2);
    simulation.zones.get("west").unavailable = true;
    simulation.run(15 * SECOND_NANOS);
    assertServedAtHome(simulation);
    simulation.zones.get("west").unavailable = false;
    simulation.run(3 * SECOND_NANOS);
    assertServedAtHome(simulation);
    simulation.zones.get("east").unavailable = false;
    simulation.run(10 * SECOND_NANOS);
    assertEquals(0, simulation.plan().number(), simulation.logText());
  }

  /**
   * A shared cause makes most attempts fail in one zone, and slightly less than most in the others.
   */
  @Test
  void movesNothingWhenAllZonesAreSimilarlyDegraded() {
    SimulatedZones simulation = threeZones(400);
    simulation.zones.get("east").failureShare = 0.6;
    simulation.zones.get("west").failureShare = 0.45;
    simulation.zones.get("far").failureShare = 0.4;
    simulation.run(20 * SECOND_NANOS);
    assertServedAtHome(simulation);
    assertEquals(0, simulation.plan().number(), simulation.logText());
    simulation.zones.get("west").failureShare = 0.05;
    simulation.run(5 * SECOND_NANOS);
    assertTrue(
        simulation.plan().allocationOf("east").weightOf("west") > 900,
        "moves to a zone that is clearly less degraded\n" + simulation.logText());
  }

  @Test
  void leavesSlowZonesAloneUnlessOneFailsNearlyCompletely() {
    SimulatedZones simulation = threeZones(400);
    simulation.run(10 * SECOND_NANOS);
    simulation.zones.values().forEach(zone -> zone.responseMicros = 4000);
    simulation.run(2 * SECOND_NANOS);
    simulation.zones.get("east").failureShare = 0.7;
    simulation.run(10 * SECOND_NANOS);
    assertEquals(0, simulation.plan().number(), simulation.logText());
    simulation.zones.get("east").failureShare = 1;
    simulation.run(5 * SECOND_NANOS);
    assertTrue(simulation.plan().allocationOf("east").weightOf("west") > 900, simulation.logText());
  }

  /**
   * After the loss of a region the other region has little spare capacity. Random differences of
   * the measured rates must not cause new plans, nor a spill where demand does not exceed the
   * capacity.
   */
  @Test
  void makesNoPlansForRandomDifferencesInSpareCapacity() {
    Map<String, String> regions = Map.of("a", "one", "b", "one", "c", "two", "d", "two");
    SimulatedZones simulation = new SimulatedZones(4, regions, 2, 30, 8.7);
    simulation.poissonArrivals = true;
    simulation.run(20 * SECOND_NANOS);
    assertEquals(0, simulation.plan().number(), simulation.logText());
    simulation.zones.get("a").unavailable = true;
    simulation.run(3 * SECOND_NANOS);
    simulation.zones.get("b").unavailable = true;
    simulation.run(60 * SECOND_NANOS);
    assertTrue(
        simulation.plan().number() < 30,
        simulation.plan().number() + " plans\n" + simulation.logText());
    assertNull(simulation.overload);
  }

  /**
   * The first zone is already evacuated when the second one fails, so that the outage is not
   * shared.
   */
  @Test
  void movesKeysOnWhenTheirDestinationFails() {
    SimulatedZones simulation = threeZones(250);
    simulation.zones.get("east").unavailable = true;
    simulation.run(8 * SECOND_NANOS);
    simulation.zones.get("west").unavailable = true;
    simulation.run(8 * SECOND_NANOS);
    assertTrue(
        simulation.servedShare("east", SECOND_NANOS) > 0.9
            && simulation.servedShare("west", SECOND_NANOS) > 0.9,
        simulation.logText());
  }

  @ParameterizedTest
  @ValueSource(strings = {"bad", "good", "stuck"})
  void singleRouterWithFalseReportsNeitherCausesNorPreventsFailover(String falseReports) {
    SimulatedZones simulation = threeZones(400);
    simulation.routers.get(0).falseReports = falseReports;
    simulation.run(30 * SECOND_NANOS);
    assertServedAtHome(simulation);
    simulation.zones.get("east").unavailable = true;
    simulation.run(8 * SECOND_NANOS);
    assertTrue(
        simulation.servedShare("east", SECOND_NANOS) > 0.9,
        "the router does not prevent a failover either\n" + simulation.logText());
  }

  @Test
  void singleRouterWithEjectionsDoesNotEvacuateZoneWithoutTraffic() {
    SimulatedZones simulation = new SimulatedZones(1, THREE, 2, 10, 100);
    simulation.routersOf("west").forEach(router -> router.requestsPerSecond = 0);
    simulation.routers.get(0).falseReports = "ejected";
    simulation.run(30 * SECOND_NANOS);
    assertEquals(0, simulation.plan().number(), simulation.logText());
  }

  @Test
  void zoneCutOffFromTheStoreUsesOnlyItsReserveElsewhere() {
    SimulatedZones simulation = threeZones(400);
    simulation
        .routersOf("east")
        .forEach(
            router -> {
              router.storeUnreachable = true;
              router.unreachableZones.add("west");
              router.unreachableZones.add("far");
            });
    simulation.run(5 * SECOND_NANOS);
    assertTrue(simulation.servedShare("east", 5 * SECOND_NANOS) > 0.98);
    // The zone's own cache servers fail as well, and its routers reach west again: they may use the
    // reserve that every plan keeps free.
    simulation.routersOf("east").forEach(router -> router.unreachableZones.clear());
    simulation.zones.get("east").unavailable = true;
    simulation.run(6 * SECOND_NANOS);
    double served = simulation.servedShare("east", 5 * SECOND_NANOS);
    assertTrue(served > 0.03 && served < 0.07, served + "\n" + simulation.logText());
    simulation.routersOf("east").forEach(router -> router.storeUnreachable = false);
    simulation.run(6 * SECOND_NANOS);
    assertTrue(simulation.servedShare("east", SECOND_NANOS) > 0.9, simulation.logText());
  }

  @Test
  void distinguishesUnreachableHomeZoneFromFailedZone() {
    SimulatedZones simulation = threeZones(400);
    simulation.routersOf("east").forEach(router -> router.unreachableZones.add("east"));
    simulation.run(8 * SECOND_NANOS);
    assertTrue(simulation.servedShare("east", SECOND_NANOS) > 0.9, simulation.logText());
    assertEquals(ZoneState.SPLIT, simulation.plan().states().get("east"), simulation.logText());
  }

  @Test
  void flappingZoneReturnsLaterEachTime() {
    SimulatedZones simulation = threeZones(400);
    long previousOutageNanos = 0;
    for (int i = 0; i < 3; i++) {
      simulation.zones.get("east").unavailable = true;
      simulation.run(6 * SECOND_NANOS);
      simulation.zones.get("east").unavailable = false;
      long recoveredAtNanos = simulation.scheduler.now();
      while (simulation.plan().allocationOf("east").weightOf("east")
          <= ZoneAllocation.HOME_TRIAL_WEIGHT) {
        simulation.run(SECOND_NANOS / 4);
        assertTrue(
            simulation.scheduler.now() - recoveredAtNanos < 70 * SECOND_NANOS,
            simulation.logText());
      }
      long outageNanos = simulation.scheduler.now() - recoveredAtNanos;
      assertTrue(
          outageNanos > previousOutageNanos,
          outageNanos / SECOND_NANOS + " s out after " + previousOutageNanos / SECOND_NANOS);
      previousOutageNanos = outageNanos;
      simulation.run(6 * SECOND_NANOS);
    }
  }

  @Test
  void anotherRouterBecomesLeaderWhenZoneOfLeaderIsLost() throws AgreementException {
    SimulatedZones simulation = threeZones(400);
    String leader = simulation.admin().readSnapshot().leader();
    String home =
        simulation.routers.stream()
            .filter(router -> leader.startsWith(router.name + "/"))
            .findFirst()
            .orElseThrow()
            .home;
    simulation.routersOf(home).forEach(SimulatedZones.SimulatedRouter::kill);
    simulation.zones.get(home).unavailable = true;
    String other = simulation.topology.othersByDistance(home).get(0);
    simulation.run(6 * SECOND_NANOS);
    assertTrue(
        !simulation.admin().readSnapshot().leader().equals(leader)
            && !simulation.admin().readSnapshot().leader().isEmpty());
    simulation.zones.get(other).unavailable = true;
    simulation.run(8 * SECOND_NANOS);
    assertTrue(simulation.servedShare(other, SECOND_NANOS) > 0.9, simulation.logText());
  }

  @Test
  void leaderChangesCauseNoPlansAndDoNotPreventFailover() throws AgreementException {
    SimulatedZones simulation = threeZones(400);
    for (int i = 0; i < 12; i++) {
      simulation.zones.get("east").unavailable = i >= 6;
      String leader = simulation.admin().readSnapshot().leader();
      SimulatedZones.SimulatedRouter holder =
          simulation.routers.stream()
              .filter(router -> leader.startsWith(router.name + "/"))
              .findFirst()
              .orElse(simulation.routers.get(0));
      holder.kill();
      simulation.run(2 * SECOND_NANOS);
      holder.start();
      simulation.run(4 * SECOND_NANOS);
      assertTrue(i >= 6 || simulation.plan().number() == 0, simulation.logText());
    }
    assertTrue(simulation.servedShare("east", SECOND_NANOS) > 0.9, simulation.logText());
    assertNull(simulation.overload);
  }

  @Test
  void operatorOverridesTakePrecedenceAndExpire() throws AgreementException {
    SimulatedZones simulation = threeZones(400);
    simulation
        .admin()
        .setOverride(
            new ZoneOverride(
                "east", ZoneOverrideKind.DRAIN, 0, 20 * SECOND_NANOS, "op", "work on it"));
    simulation.run(6 * SECOND_NANOS);
    assertEquals(
        ZoneAllocation.HOME_TRIAL_WEIGHT,
        simulation.plan().allocationOf("east").weightOf("east"),
        simulation.logText());
    assertEquals(
        "only one zone may be out of service at a time, and out of service is east (failed over,"
            + " drained by op: work on it)",
        assertThrows(
                AgreementException.class,
                () ->
                    simulation
                        .admin()
                        .setOverride(
                            new ZoneOverride("west", ZoneOverrideKind.DRAIN, 0, 0, "op", "too")))
            .getMessage());
    simulation.run(30 * SECOND_NANOS);
    assertServedAtHome(simulation);
    simulation
        .admin()
        .setOverride(new ZoneOverride("west", ZoneOverrideKind.WEIGHT, 600, 0, "op", "less"));
    simulation.run(6 * SECOND_NANOS);
    assertEquals(
        600, simulation.plan().allocationOf("west").weightOf("west"), simulation.logText());
    simulation
        .admin()
        .setOverride(new ZoneOverride("west", ZoneOverrideKind.HOLD, 0, 0, "op", "stay"));
    simulation.zones.get("west").unavailable = true;
    simulation.run(10 * SECOND_NANOS);
    assertEquals(600, simulation.plan().allocationOf("west").weightOf("west"));
    simulation.admin().clearOverride("west");
    simulation.run(6 * SECOND_NANOS);
    assertEquals(
        ZoneAllocation.HOME_TRIAL_WEIGHT,
        simulation.plan().allocationOf("west").weightOf("west"),
        simulation.logText());
  }
}
