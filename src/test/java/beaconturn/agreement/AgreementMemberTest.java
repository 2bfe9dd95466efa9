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

/** Tests members under partitions, crashes, pauses and store faults, in virtual time. */
class AgreementMemberTest {
  private static final long SECOND_NANOS = SimulatedAgreement.SECOND_NANOS;
  private static final long LEASE_NANOS = SimulatedAgreement.TIMING.leaseNanos();

  private static ConfigContent excluding(String... servers) {
    return new ConfigContent(new TreeMap<>(), null, null, 0, new TreeSet<>(List.of(servers)));
  }

  private static long propose(SimulatedAgreement fleet, String... servers)
      throws AgreementException {
    return fleet.admin().propose(current -> excluding(servers), "op", "why", 0);
  }

  private static SimulatedAgreement startedFleet(int routers) throws AgreementException {
    SimulatedAgreement fleet = new SimulatedAgreement(routers, routers);
    fleet.begin();
    assertEquals(routers, fleet.admin().status().members().size());
    return fleet;
  }

  private static void assertNoViolations(SimulatedAgreement fleet) {
    assertEquals(List.of(), fleet.violations);
    assertTrue(fleet.actionCount > 100);
  }

  private static String effectiveConfigOf(SimulatedAgreement fleet, int router) {
    SimulatedAgreement.SimulatedMember member = fleet.members.get(router);
    return member.effectiveConfig.descriptionAt(member.now());
  }

  @Test
  void versionComesIntoForceOnceAllMembersAckAndThenSettles() throws AgreementException {
    SimulatedAgreement fleet = startedFleet(5);
    fleet.members.get(3).disconnected = true;
    long first = propose(fleet, "c1");
    fleet.run(20 * LEASE_NANOS);
    assertEquals(List.of("r3"), fleet.admin().status().awaitedMembers());
    assertTrue(fleet.versionsInForce.isEmpty(), "r3 may still act on its configuration");
    assertEquals("its own configuration without a lease", effectiveConfigOf(fleet, 3));
    fleet.members.get(3).disconnected = false;
    assertTrue(fleet.settlesWithin(first, 10 * SECOND_NANOS));
    assertEquals("version 1", effectiveConfigOf(fleet, 3));
    assertNoViolations(fleet);
  }

  /** The member loses its connection after its ack and before the version comes into force. */
  @Test
  void memberDisconnectedAfterAckActsOnCommonConfigOfBothVersions() throws AgreementException {
    SimulatedAgreement fleet = startedFleet(6);
    assertTrue(fleet.settlesWithin(propose(fleet, "c1"), 10 * SECOND_NANOS));
    fleet.members.get(0).disconnected = true;
    long second = propose(fleet, "c2");
    fleet.run(LEASE_NANOS);
    fleet.members.get(0).disconnected = false;
    while (fleet.members.get(0).persisted.ackedVersion() == null) {
      fleet.run(SimulatedAgreement.MILLI_NANOS);
    }
    fleet.members.get(0).disconnected = true;
    fleet.run(10 * LEASE_NANOS);
    assertEquals(2, fleet.versionsInForce.size());
    assertEquals("safe ground between version 1 and version 2", effectiveConfigOf(fleet, 0));
    assertEquals(
        new TreeSet<>(List.of("c1", "c2")),
        fleet.members.get(0).effectiveConfig.afterLease().excludedServers());
    assertTrue(fleet.settlesWithin(second, SECOND_NANOS), "r0 holds no lease and is not awaited");
    propose(fleet, "c3");
    fleet.run(10 * LEASE_NANOS);
    assertEquals(2, fleet.versionsInForce.size(), "r0 has not acked the third version");
    fleet.members.get(0).disconnected = false;
    assertTrue(fleet.settlesWithin(3, 10 * SECOND_NANOS));
    assertNoViolations(fleet);
  }

  @Test
  void nackRejectsVersionWithMemberAndReason() throws AgreementException {
    SimulatedAgreement fleet = startedFleet(3);
    propose(fleet, "c1", "c2", "c3");
    fleet.run(10 * SECOND_NANOS);
    assertTrue(fleet.versionsInForce.isEmpty());
    assertTrue(
        fleet
            .admin()
            .history()
            .get(0)
            .rejectionReason()
            .matches("r[0-2] says no: too few are left"));
    long next = propose(fleet, "c1");
    assertEquals(2, next, "the number of the rejected version must not be reused");
    assertTrue(fleet.settlesWithin(next, 10 * SECOND_NANOS));
    assertNoViolations(fleet);
  }

  /**
   * A member with an older endpoint list than the version requires would contradict the version.
   */
  @Test
  void memberDoesNotVoteUntilItHasRequiredEndpointList() throws AgreementException {
    SimulatedAgreement fleet = startedFleet(3);
    fleet.members.get(1).listVersion = 6;
    long number =
        fleet
            .admin()
            .propose(
                current ->
                    new ConfigContent(
                        current.classes(),
                        current.maxAttempts(),
                        current.hedging(),
                        7,
                        current.excludedServers()),
                "op",
                "why",
                0);
    fleet.run(10 * SECOND_NANOS);
    assertTrue(fleet.versionsInForce.isEmpty());
    assertEquals(List.of("r1"), fleet.admin().status().awaitedMembers());
    fleet.members.get(1).listVersion = 7;
    assertTrue(fleet.settlesWithin(number, 10 * SECOND_NANOS));
    assertNoViolations(fleet);
  }

  @Test
  void secondProposalIsRejectedWhileOneIsOpen() throws AgreementException {
    SimulatedAgreement fleet = startedFleet(3);
    propose(fleet, "c1");
    assertEquals(
        "version 1 is proposed and not in force yet",
        assertThrows(AgreementException.class, () -> propose(fleet, "c2")).getMessage());
  }

  @Test
  void stepWithLostResponseIsCommittedOnce() throws AgreementException {
    SimulatedAgreement fleet = startedFleet(3);
    fleet.responsesToLose = 1;
    assertEquals(1, propose(fleet, "c1"));
    assertEquals(1, fleet.admin().history().size());
    fleet.members.forEach(member -> member.losesResponses = true);
    fleet.run(3 * LEASE_NANOS);
    fleet.members.forEach(member -> member.losesResponses = false);
    assertTrue(fleet.settlesWithin(1, 20 * SECOND_NANOS));
    assertEquals(1, fleet.versionsInForce.size());
    assertNoViolations(fleet);
  }

  @Test
  void memberResumedAfterLongPauseActsOnNoOutdatedVersion() throws AgreementException {
    SimulatedAgreement fleet = startedFleet(4);
    assertTrue(fleet.settlesWithin(propose(fleet, "c1"), 10 * SECOND_NANOS));
    propose(fleet, "c2");
    while (fleet.members.get(1).persisted.ackedVersion() == null) {
      fleet.run(SimulatedAgreement.MILLI_NANOS);
    }
    fleet.members.get(1).pausedUntilNanos = fleet.scheduler.now() + 20 * LEASE_NANOS;
    fleet.run(20 * LEASE_NANOS - SimulatedAgreement.MILLI_NANOS);
    assertEquals(2, fleet.versionsInForce.size());
    fleet.run(2 * LEASE_NANOS);
    assertNoViolations(fleet);
  }

  @Test
  void crashedMemberIsAwaitedUntilRestartedOrDeclaredLost() throws AgreementException {
    SimulatedAgreement fleet = startedFleet(3);
    fleet.members.get(2).crash();
    propose(fleet, "c1");
    assertEquals(
        "router 'r2' holds its lease: it is alive",
        assertThrows(AgreementException.class, () -> fleet.admin().declareLost("r2")).getMessage());
    fleet.run(20 * LEASE_NANOS);
    assertTrue(fleet.versionsInForce.isEmpty());
    fleet.admin().declareLost("r2");
    assertTrue(fleet.settlesWithin(1, 10 * SECOND_NANOS));
    fleet.members.get(2).start();
    fleet.run(5 * SECOND_NANOS);
    assertEquals("version 1", effectiveConfigOf(fleet, 2));
    fleet.members.get(1).crash();
    propose(fleet, "c2");
    fleet.run(LEASE_NANOS);
    fleet.members.get(1).start();
    assertTrue(fleet.settlesWithin(2, 10 * SECOND_NANOS));
    assertEquals(
        3, fleet.admin().status().members().size(), "the crashed process's record must be deleted");
    assertNoViolations(fleet);
  }

  @Test
  void startWithoutStoreUsesPersistedConfigOrStrictConfig() throws AgreementException {
    SimulatedAgreement fleet = startedFleet(3);
    assertTrue(fleet.settlesWithin(propose(fleet, "c1"), 10 * SECOND_NANOS));
    for (int i : new int[] {0, 1}) {
      fleet.members.get(i).crash();
      fleet.members.get(i).disconnected = true;
      fleet.members.get(i).restoresPersisted = i == 0;
      fleet.members.get(i).start();
    }
    fleet.run(5 * SECOND_NANOS);
    assertEquals("version 1 without a lease", effectiveConfigOf(fleet, 0));
    assertEquals("strict ground", effectiveConfigOf(fleet, 1));
    assertNoViolations(fleet);
  }

  /**
   * After a planned shutdown versions come into force without the member's ack, so its persisted
   * configuration may be outdated.
   */
  @Test
  void memberThatLeftDoesNotStartOnPersistedConfig() throws AgreementException {
    SimulatedAgreement fleet = startedFleet(3);
    assertTrue(fleet.settlesWithin(propose(fleet, "c1"), 10 * SECOND_NANOS));
    SimulatedAgreement.SimulatedMember member = fleet.members.get(1);
    member.member.leave().forEach(fleet::serve);
    member.crash();
    assertTrue(fleet.settlesWithin(propose(fleet, "c2"), 10 * SECOND_NANOS));
    member.disconnected = true;
    member.start();
    fleet.run(10 * LEASE_NANOS);
    assertEquals("strict ground", effectiveConfigOf(fleet, 1));
    assertEquals(
        new TreeSet<>(List.of("c1")),
        member.effectiveConfig.contentAt(member.now()).excludedServers());
    member.disconnected = false;
    fleet.run(SECOND_NANOS);
    assertEquals("version 2", effectiveConfigOf(fleet, 1));
    assertNoViolations(fleet);
  }

  /** Before its first read of the store a restarted member only knows the persisted exclusions. */
  @Test
  void persistedExclusionsHoldUntilStoreIsRead() throws AgreementException {
    SimulatedAgreement fleet = startedFleet(3);
    assertTrue(fleet.settlesWithin(propose(fleet, "c1"), 10 * SECOND_NANOS));
    fleet.members.get(2).disconnected = true;
    propose(fleet, "c2");
    SimulatedAgreement.SimulatedMember member = fleet.members.get(1);
    while (member.persisted.ackedVersion() == null) {
      fleet.run(SimulatedAgreement.MILLI_NANOS);
    }
    member.crash();
    member.start();
    assertFalse(member.member.hasAskedStore());
    assertEquals("strict ground", effectiveConfigOf(fleet, 1));
    assertEquals(
        new TreeSet<>(List.of("c1", "c2")),
        member.effectiveConfig.contentAt(member.now()).excludedServers());
    fleet.run(SECOND_NANOS);
    assertTrue(member.member.hasAskedStore());
    assertEquals("version 1", effectiveConfigOf(fleet, 1));
    assertNoViolations(fleet);
  }

  /**
   * After a loss of the store all members keep their configuration, whatever replaces the store.
   */
  @ParameterizedTest
  @ValueSource(strings = {"empty", "older"})
  void membersIgnoreReplacedStore(String replacement) throws AgreementException {
    SimulatedAgreement fleet = startedFleet(3);
    assertTrue(fleet.settlesWithin(propose(fleet, "c1"), 10 * SECOND_NANOS));
    assertTrue(fleet.settlesWithin(propose(fleet, "c2"), 10 * SECOND_NANOS));
    if (replacement.equals("empty")) {
      fleet.store.replaceWithEmpty(8);
      fleet.admin().begin("second");
    } else {
      fleet.store.rewind(30);
    }
    fleet.run(20 * LEASE_NANOS);
    for (int i = 0; i < 3; i++) {
      assertEquals("version 2 without a lease", effectiveConfigOf(fleet, i));
    }
    assertNoViolations(fleet);
  }

  /**
   * A member that never read the lost version can recognize the restored store only by its cluster
   * id.
   */
  @Test
  void membersIgnoreStoreThatLostCommittedVersion() throws AgreementException {
    SimulatedAgreement fleet = startedFleet(5);
    assertTrue(fleet.settlesWithin(propose(fleet, "c1"), 10 * SECOND_NANOS));
    propose(fleet, "c2");
    while (fleet.versionsInForce.size() < 2) {
      fleet.run(SimulatedAgreement.MILLI_NANOS);
    }
    fleet.store.rewind(1);
    fleet.run(20 * LEASE_NANOS);
    for (int i = 0; i < 5; i++) {
      assertTrue(
          effectiveConfigOf(fleet, i).equals("version 2 without a lease")
              || effectiveConfigOf(fleet, i).equals("safe ground between version 1 and version 2"),
          effectiveConfigOf(fleet, i));
    }
    assertNoViolations(fleet);
  }

  @Test
  void anotherMemberTakesOverFromCrashedLeader() throws AgreementException {
    SimulatedAgreement fleet = startedFleet(4);
    propose(fleet, "c1");
    String leader = "";
    while (leader.isEmpty()) {
      fleet.run(SimulatedAgreement.MILLI_NANOS);
      leader = fleet.admin().status().snapshot().leader();
    }
    int crashed = Integer.parseInt(leader.substring(1, leader.indexOf('.')));
    fleet.members.get(crashed).crash();
    fleet.run(20 * LEASE_NANOS);
    fleet.members.get(crashed).start();
    assertTrue(fleet.settlesWithin(1, 20 * SECOND_NANOS));
    assertNoViolations(fleet);
  }

  /** Runs a fleet with random faults, then ends all faults and lets the fleet recover. */
  private static SimulatedAgreement randomScenario(long seed, boolean memberIgnoresLease)
      throws AgreementException {
    SimulatedAgreement fleet = new SimulatedAgreement(seed, 5);
    fleet.begin();
    fleet.members.get(0).ignoresLease = memberIgnoresLease;
    Random random = new Random(seed);
    for (int i = 0; i < 60; i++) {
      SimulatedAgreement.SimulatedMember member = fleet.members.get(random.nextInt(5));
      switch (random.nextInt(8)) {
        case 0 -> member.disconnected = !member.disconnected;
        case 1 -> member.losesResponses = !member.losesResponses;
        case 2 ->
            member.pausedUntilNanos =
                fleet.scheduler.now() + random.nextInt(6000) * SimulatedAgreement.MILLI_NANOS;
        case 3 -> {
          member.crash();
          member.start();
        }
        case 4 -> fleet.store.freeze(random.nextBoolean());
        default -> proposeRandomContent(fleet, random);
      }
      fleet.run(random.nextInt(3000) * SimulatedAgreement.MILLI_NANOS);
    }
    fleet.store.freeze(false);
    fleet.members.forEach(
        member -> {
          member.disconnected = false;
          member.losesResponses = false;
        });
    fleet.run(30 * SECOND_NANOS);
    return fleet;
  }

  private static void proposeRandomContent(SimulatedAgreement fleet, Random random) {
    try {
      fleet.responsesToLose = random.nextInt(2);
      ConfigContent content = StrictestCommonConfigTest.randomContent(random);
      fleet.admin().propose(current -> content, "op", "why", 0);
    } catch (AgreementException e) {
      // Another step is still open.
      fleet.responsesToLose = 0;
    }
  }

  @Test
  void staleActionsStayWithinBoundUnderRandomFaults() throws AgreementException {
    long versions = 0;
    for (long seed = 1; seed <= Long.getLong("storms", 60); seed++) {
      SimulatedAgreement fleet = randomScenario(seed, false);
      assertEquals(List.of(), fleet.violations, "seed " + seed);
      AgreementSnapshot snapshot = fleet.admin().status().snapshot();
      assertFalse(snapshot.hasOpenStep(), () -> "a step is still open: " + snapshot);
      assertNull(snapshot.proposed());
      versions += fleet.versionsInForce.size();
    }
    assertTrue(versions > 100, "too few versions came into force: " + versions);
  }

  /** The check must detect a member that acts on its version after its lease has expired. */
  @Test
  void violationCheckDetectsMemberThatIgnoresItsLease() throws AgreementException {
    int detectedRuns = 0;
    for (long seed = 1; seed <= 20; seed++) {
      List<String> violations = randomScenario(seed, true).violations;
      detectedRuns += violations.isEmpty() ? 0 : 1;
      assertTrue(
          violations.stream().allMatch(violation -> violation.contains("r0 acts against")),
          violations::toString);
    }
    assertTrue(detectedRuns > 0, "no run detected the violation");
  }
}
