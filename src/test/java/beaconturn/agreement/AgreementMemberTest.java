package beaconturn.agreement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Random;
import java.util.TreeMap;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The hard cases of the agreement, each caused in virtual time. */
class AgreementMemberTest {
  private static final long SECOND = SimulatedAgreement.SECOND;
  private static final long LEASE = SimulatedAgreement.TIMING.leaseNanos();

  private static ConfigContent out(String... servers) {
    return new ConfigContent(new TreeMap<>(), null, null, 0, new TreeSet<>(List.of(servers)));
  }

  private static long propose(SimulatedAgreement fleet, String... servers)
      throws AgreementException {
    return fleet.desk().propose(now -> out(servers), "op", "why", 0);
  }

  private static SimulatedAgreement begun(int routers) throws AgreementException {
    SimulatedAgreement fleet = new SimulatedAgreement(routers, routers);
    fleet.begin();
    assertEquals(routers, fleet.desk().status().members().size());
    return fleet;
  }

  private static void clean(SimulatedAgreement fleet) {
    assertEquals(List.of(), fleet.offences);
    assertTrue(fleet.acts > 100);
  }

  private static String acts(SimulatedAgreement fleet, int router) {
    SimulatedAgreement.SimulatedMember seat = fleet.seats.get(router);
    return seat.ground.descriptionAt(seat.now());
  }

  @Test
  void aVersionComesIntoForceOnlyWithTheYesOfAllAndSettles() throws AgreementException {
    SimulatedAgreement fleet = begun(5);
    fleet.seats.get(3).cut = true;
    long first = propose(fleet, "c1");
    fleet.run(20 * LEASE);
    assertEquals(List.of("r3"), fleet.desk().status().awaitedMembers());
    assertTrue(fleet.inForce.isEmpty(), "nobody can tell r3 from one that still acts");
    assertEquals("its own configuration without a lease", acts(fleet, 3));
    fleet.seats.get(3).cut = false;
    assertTrue(fleet.settles(first, 10 * SECOND));
    assertEquals("version 1", acts(fleet, 3));
    clean(fleet);
  }

  /** The cut falls between its yes and the version's coming into force: it goes to safe ground. */
  @Test
  void whoIsCutOffAfterItsYesStandsBetweenTheTwo() throws AgreementException {
    SimulatedAgreement fleet = begun(6);
    assertTrue(fleet.settles(propose(fleet, "c1"), 10 * SECOND));
    fleet.seats.get(0).cut = true;
    long second = propose(fleet, "c2");
    fleet.run(LEASE);
    fleet.seats.get(0).cut = false;
    while (fleet.seats.get(0).kept.ackedVersion() == null) {
      fleet.run(SimulatedAgreement.MILLI);
    }
    fleet.seats.get(0).cut = true;
    fleet.run(10 * LEASE);
    assertEquals(2, fleet.inForce.size());
    assertEquals("safe ground between version 1 and version 2", acts(fleet, 0));
    assertEquals(
        new TreeSet<>(List.of("c1", "c2")),
        fleet.seats.get(0).ground.afterLease().excludedServers());
    assertTrue(fleet.settles(second, SECOND), "it holds no lease, and acts on neither alone");
    propose(fleet, "c3");
    fleet.run(10 * LEASE);
    assertEquals(2, fleet.inForce.size(), "a third version would contradict where it stands");
    fleet.seats.get(0).cut = false;
    assertTrue(fleet.settles(3, 10 * SECOND));
    clean(fleet);
  }

  @Test
  void aNoStopsItAndSaysWhoAndWhy() throws AgreementException {
    SimulatedAgreement fleet = begun(3);
    propose(fleet, "c1", "c2", "c3");
    fleet.run(10 * SECOND);
    assertTrue(fleet.inForce.isEmpty());
    assertTrue(
        fleet
            .desk()
            .history()
            .get(0)
            .rejectionReason()
            .matches("r[0-2] says no: too few are left"));
    long next = propose(fleet, "c1");
    assertEquals(2, next, "a number is never given twice");
    assertTrue(fleet.settles(next, 10 * SECOND));
    clean(fleet);
  }

  /**
   * Whoever acts on an older list than the version asks for would contradict it from the first
   * moment.
   */
  @Test
  void aRouterThatHasAnOlderListSaysNeitherYesNorNoUntilItHasTheNewer() throws AgreementException {
    SimulatedAgreement fleet = begun(3);
    fleet.seats.get(1).list = 6;
    long number =
        fleet
            .desk()
            .propose(
                now ->
                    new ConfigContent(
                        now.classes(), now.maxAttempts(), now.hedging(), 7, now.excludedServers()),
                "op",
                "why",
                0);
    fleet.run(10 * SECOND);
    assertTrue(fleet.inForce.isEmpty());
    assertEquals(List.of("r1"), fleet.desk().status().awaitedMembers());
    fleet.seats.get(1).list = 7;
    assertTrue(fleet.settles(number, 10 * SECOND));
    clean(fleet);
  }

  @Test
  void twoThatProposeAtOnceAreOneAndOneIsToldSo() throws AgreementException {
    SimulatedAgreement fleet = begun(3);
    propose(fleet, "c1");
    assertEquals(
        "version 1 is proposed and not in force yet",
        assertThrows(AgreementException.class, () -> propose(fleet, "c2")).getMessage());
  }

  @Test
  void aStepWhoseAnswerIsLostIsDoneOnce() throws AgreementException {
    SimulatedAgreement fleet = begun(3);
    fleet.loseNext = 1;
    assertEquals(1, propose(fleet, "c1"));
    assertEquals(1, fleet.desk().history().size());
    fleet.seats.forEach(s -> s.oneWay = true);
    fleet.run(3 * LEASE);
    fleet.seats.forEach(s -> s.oneWay = false);
    assertTrue(fleet.settles(1, 20 * SECOND));
    assertEquals(1, fleet.inForce.size());
    clean(fleet);
  }

  @Test
  void whoeverWakesFromALongPauseActsOnNothingOlder() throws AgreementException {
    SimulatedAgreement fleet = begun(4);
    assertTrue(fleet.settles(propose(fleet, "c1"), 10 * SECOND));
    propose(fleet, "c2");
    while (fleet.seats.get(1).kept.ackedVersion() == null) {
      fleet.run(SimulatedAgreement.MILLI);
    }
    fleet.seats.get(1).pausedUntil = fleet.agenda.now() + 20 * LEASE;
    fleet.run(20 * LEASE - SimulatedAgreement.MILLI);
    assertEquals(2, fleet.inForce.size());
    fleet.run(2 * LEASE);
    clean(fleet);
  }

  @Test
  void aRouterThatDiesAfterItsYesIsWaitedForUntilItIsBackOrDeclaredLost()
      throws AgreementException {
    SimulatedAgreement fleet = begun(3);
    fleet.seats.get(2).die();
    propose(fleet, "c1");
    assertEquals(
        "router 'r2' holds its lease: it is alive",
        assertThrows(AgreementException.class, () -> fleet.desk().declareLost("r2")).getMessage());
    fleet.run(20 * LEASE);
    assertTrue(fleet.inForce.isEmpty());
    fleet.desk().declareLost("r2");
    assertTrue(fleet.settles(1, 10 * SECOND));
    fleet.seats.get(2).start();
    fleet.run(5 * SECOND);
    assertEquals("version 1", acts(fleet, 2));
    fleet.seats.get(1).die();
    propose(fleet, "c2");
    fleet.run(LEASE);
    fleet.seats.get(1).start();
    assertTrue(fleet.settles(2, 10 * SECOND));
    assertEquals(
        3, fleet.desk().status().members().size(), "the line of the one before it is gone");
    clean(fleet);
  }

  @Test
  void aStartWithoutAStoreIsOnWhatWasKeptOrRepeatsNothing() throws AgreementException {
    SimulatedAgreement fleet = begun(3);
    assertTrue(fleet.settles(propose(fleet, "c1"), 10 * SECOND));
    for (int i : new int[] {0, 1}) {
      fleet.seats.get(i).die();
      fleet.seats.get(i).cut = true;
      fleet.seats.get(i).keeps = i == 0;
      fleet.seats.get(i).start();
    }
    fleet.run(5 * SECOND);
    assertEquals("version 1 without a lease", acts(fleet, 0));
    assertEquals("strict ground", acts(fleet, 1));
    clean(fleet);
  }

  /**
   * Losing the store costs nothing: all go on as they were, whatever stands in its place
   * afterwards.
   */
  /**
   * After a planned end others move on without its yes: what it kept is nothing to act on any more.
   */
  @Test
  void whoLeftAsPlannedDoesNotStartOnWhatItKept() throws AgreementException {
    SimulatedAgreement fleet = begun(3);
    assertTrue(fleet.settles(propose(fleet, "c1"), 10 * SECOND));
    SimulatedAgreement.SimulatedMember seat = fleet.seats.get(1);
    seat.member.leave().forEach(fleet::serve);
    seat.die();
    assertTrue(fleet.settles(propose(fleet, "c2"), 10 * SECOND));
    seat.cut = true;
    seat.start();
    fleet.run(10 * LEASE);
    assertEquals("strict ground", acts(fleet, 1));
    assertEquals(new TreeSet<>(List.of("c1")), seat.ground.contentAt(seat.now()).excludedServers());
    seat.cut = false;
    fleet.run(SECOND);
    assertEquals("version 2", acts(fleet, 1));
    clean(fleet);
  }

  /**
   * Until it has asked it knows no more than was kept; a server that was out then is not sent to.
   */
  @Test
  void aStartHoldsOutWhatWasKeptUntilItHasAsked() throws AgreementException {
    SimulatedAgreement fleet = begun(3);
    assertTrue(fleet.settles(propose(fleet, "c1"), 10 * SECOND));
    fleet.seats.get(2).cut = true;
    propose(fleet, "c2");
    SimulatedAgreement.SimulatedMember seat = fleet.seats.get(1);
    while (seat.kept.ackedVersion() == null) {
      fleet.run(SimulatedAgreement.MILLI);
    }
    seat.die();
    seat.start();
    assertFalse(seat.member.hasAskedStore());
    assertEquals("strict ground", acts(fleet, 1));
    assertEquals(
        new TreeSet<>(List.of("c1", "c2")), seat.ground.contentAt(seat.now()).excludedServers());
    fleet.run(SECOND);
    assertTrue(seat.member.hasAskedStore());
    assertEquals("version 1", acts(fleet, 1));
    clean(fleet);
  }

  @ParameterizedTest
  @ValueSource(strings = {"empty", "older"})
  void nobodyFollowsAReplacedStore(String how) throws AgreementException {
    SimulatedAgreement fleet = begun(3);
    assertTrue(fleet.settles(propose(fleet, "c1"), 10 * SECOND));
    assertTrue(fleet.settles(propose(fleet, "c2"), 10 * SECOND));
    if (how.equals("empty")) {
      fleet.store.empty(8);
      fleet.desk().begin("second");
    } else {
      fleet.store.rewind(30);
    }
    fleet.run(20 * LEASE);
    for (int i = 0; i < 3; i++) {
      assertEquals("version 2 without a lease", acts(fleet, i));
    }
    clean(fleet);
  }

  /**
   * Whoever had not heard of what the store forgot cannot tell by revisions and versions that it
   * has.
   */
  @Test
  void aStoreThatForgetsWhatCameIntoForceIsFollowedByNobody() throws AgreementException {
    SimulatedAgreement fleet = begun(5);
    assertTrue(fleet.settles(propose(fleet, "c1"), 10 * SECOND));
    propose(fleet, "c2");
    while (fleet.inForce.size() < 2) {
      fleet.run(SimulatedAgreement.MILLI);
    }
    fleet.store.rewind(1);
    fleet.run(20 * LEASE);
    for (int i = 0; i < 5; i++) {
      assertTrue(
          acts(fleet, i).equals("version 2 without a lease")
              || acts(fleet, i).equals("safe ground between version 1 and version 2"),
          acts(fleet, i));
    }
    clean(fleet);
  }

  @Test
  void anOfficeThatDiesIsTakenByAnother() throws AgreementException {
    SimulatedAgreement fleet = begun(4);
    propose(fleet, "c1");
    String holder = "";
    while (holder.isEmpty()) {
      fleet.run(SimulatedAgreement.MILLI);
      holder = fleet.desk().status().snapshot().leader();
    }
    int dead = Integer.parseInt(holder.substring(1, holder.indexOf('.')));
    fleet.seats.get(dead).die();
    fleet.run(20 * LEASE);
    fleet.seats.get(dead).start();
    assertTrue(fleet.settles(1, 20 * SECOND));
    clean(fleet);
  }

  /**
   * Faults by chance, and at the end all is well again: no offence, and the fleet can still agree.
   */
  private static SimulatedAgreement storm(long seed, boolean planted) throws AgreementException {
    SimulatedAgreement fleet = new SimulatedAgreement(seed, 5);
    fleet.begin();
    fleet.seats.get(0).ignoresLease = planted;
    Random random = new Random(seed);
    for (int i = 0; i < 60; i++) {
      SimulatedAgreement.SimulatedMember seat = fleet.seats.get(random.nextInt(5));
      switch (random.nextInt(8)) {
        case 0 -> seat.cut = !seat.cut;
        case 1 -> seat.oneWay = !seat.oneWay;
        case 2 ->
            seat.pausedUntil = fleet.agenda.now() + random.nextInt(6000) * SimulatedAgreement.MILLI;
        case 3 -> {
          seat.die();
          seat.start();
        }
        case 4 -> fleet.store.freeze(random.nextBoolean());
        default -> proposeAny(fleet, random);
      }
      fleet.run(random.nextInt(3000) * SimulatedAgreement.MILLI);
    }
    fleet.store.freeze(false);
    fleet.seats.forEach(
        s -> {
          s.cut = false;
          s.oneWay = false;
        });
    fleet.run(30 * SECOND);
    return fleet;
  }

  private static void proposeAny(SimulatedAgreement fleet, Random random) {
    try {
      fleet.loseNext = random.nextInt(2);
      ConfigContent content = StrictestCommonConfigTest.any(random);
      fleet.desk().propose(now -> content, "op", "why", 0);
    } catch (AgreementException e) {
      // Somebody is still waited for, as it should be.
      fleet.loseNext = 0;
    }
  }

  @Test
  void inAnyStormNobodyActsAgainstWhatIsInForceBeyondTheStatedTime() throws AgreementException {
    long versions = 0;
    for (long seed = 1; seed <= Long.getLong("storms", 60); seed++) {
      SimulatedAgreement fleet = storm(seed, false);
      assertEquals(List.of(), fleet.offences, "seed " + seed);
      AgreementSnapshot seen = fleet.desk().status().snapshot();
      assertFalse(seen.hasOpenStep(), () -> "still open: " + seen);
      assertNull(seen.proposed());
      versions += fleet.inForce.size();
    }
    assertTrue(versions > 100, "few versions came into force: " + versions);
  }

  /** What checks must be able to fail: a router that goes on with its version after its lease. */
  @Test
  void aRouterThatIgnoresItsLeaseIsFound() throws AgreementException {
    int found = 0;
    for (long seed = 1; seed <= 20; seed++) {
      List<String> offences = storm(seed, true).offences;
      found += offences.isEmpty() ? 0 : 1;
      assertTrue(
          offences.stream().allMatch(o -> o.contains("r0 acts against")), offences::toString);
    }
    assertTrue(found > 0, "it was never seen");
  }
}
