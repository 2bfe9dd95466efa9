package beaconturn.agreement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * Members of two builds work on one store, and their times are spread by random draws whose order
 * matters: what members do stays exactly the same when their code is cut anew. Seeded scenarios
 * with faults hold each request, answer, callback and log line of every member in a digest.
 */
class MemberTraceTest {
  private static final int SCENARIOS = 20;
  private static final int STEPS = 60;
  private static final int ROUTERS = 5;

  private final MessageDigest digest = sha256();
  private long lines;

  private static MessageDigest sha256() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }

  private void add(String line) {
    lines++;
    digest.update((withRecordedTypeNames(line) + "\n").getBytes(StandardCharsets.UTF_8));
  }

  // The digest was recorded when these JSON types had other names.
  private static String withRecordedTypeNames(String line) {
    return line.replace("NumberLiteral[", "Figure[")
        .replace("Bool[", "Flag[")
        .replace("Null[", "Nothing[");
  }

  private void play(long seed) throws AgreementException {
    SimulatedAgreement fleet = new SimulatedAgreement(seed, ROUTERS);
    fleet.trace = this::add;
    fleet.begin();
    Random random = new Random(seed);
    for (int i = 0; i < STEPS; i++) {
      disturb(fleet, fleet.simulatedMembers.get(random.nextInt(ROUTERS)), random);
      fleet.run(random.nextInt(2000) * SimulatedAgreement.MILLI);
    }
  }

  private static void disturb(
      SimulatedAgreement fleet, SimulatedAgreement.SimulatedMember member, Random random) {
    switch (random.nextInt(11)) {
      case 0 -> member.cut = !member.cut;
      case 1 -> member.oneWay = !member.oneWay;
      case 2 -> member.pausedUntil = fleet.scheduler.now() + random.nextInt(6) * 1_000_000_000L;
      case 3 -> {
        member.member.leave().forEach(fleet::serve);
        member.die();
        member.start();
      }
      case 4 -> fleet.store.freeze(random.nextBoolean());
      case 5 -> {
        member.die();
        member.restoresPersisted = random.nextInt(4) > 0;
        member.start();
      }
      case 6 -> member.canPersist = random.nextInt(3) > 0;
      case 7 -> member.list = random.nextBoolean() ? 1 : Long.MAX_VALUE;
      case 8 -> operate(fleet, admin -> admin.declareLost(member.name));
      case 9 -> operate(fleet, admin -> admin.withdraw("not wanted"));
      default -> {
        ConfigContent content = StrictestCommonConfigTest.any(random);
        operate(fleet, admin -> admin.propose(now -> content, "op", "why", 0));
      }
    }
  }

  private interface Operation {
    void on(ConfigAdmin admin) throws AgreementException;
  }

  private static void operate(SimulatedAgreement fleet, Operation operation) {
    try {
      operation.on(fleet.admin());
    } catch (AgreementException e) {
      // Not allowed now: the scenario goes on without it.
      fleet.trace.accept(e.getMessage());
    }
  }

  @Test
  void membersDoExactlyWhatTheyDidBefore() throws AgreementException {
    for (long seed = 1; seed <= SCENARIOS; seed++) {
      play(seed);
    }
    assertTrue(lines > 10_000, "too little was done: " + lines);
    assertEquals(
        "145338 600e80e7354b143524419177ac7f9efee91eaf242846292eee63928b726f96d8",
        lines + " " + HexFormat.of().formatHex(digest.digest()));
  }
}
