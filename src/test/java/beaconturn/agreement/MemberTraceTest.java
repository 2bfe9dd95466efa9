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
 * Guards against unintended changes of member behavior, as members of two builds share one store.
 * Runs seeded scenarios with faults and compares a digest of every request, response, callback and
 * log line.
 */
class MemberTraceTest {
  private static final int SCENARIOS = 20;
  private static final int STEPS = 60;
  private static final int ROUTERS = 5;

  private final MessageDigest digest = sha256();
  private long lineCount;

  private static MessageDigest sha256() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }

  private void add(String line) {
    lineCount++;
    digest.update((withRecordedTypeNames(line) + "\n").getBytes(StandardCharsets.UTF_8));
  }

  // The digest was recorded when these JSON types had other names.
  private static String withRecordedTypeNames(String line) {
    return line.replace("NumberLiteral[", "Figure[")
        .replace("Bool[", "Flag[")
        .replace("Null[", "Nothing[");
  }

  private void runScenario(long seed) throws AgreementException {
    SimulatedAgreement fleet = new SimulatedAgreement(seed, ROUTERS);
    fleet.trace = this::add;
    fleet.begin();
    Random random = new Random(seed);
    for (int i = 0; i < STEPS; i++) {
      injectFault(fleet, fleet.members.get(random.nextInt(ROUTERS)), random);
      fleet.run(random.nextInt(2000) * SimulatedAgreement.MILLI_NANOS);
    }
  }

  private static void injectFault(
      SimulatedAgreement fleet, SimulatedAgreement.SimulatedMember member, Random random) {
    switch (random.nextInt(11)) {
      case 0 -> member.disconnected = !member.disconnected;
      case 1 -> member.losesResponses = !member.losesResponses;
      case 2 ->
          member.pausedUntilNanos = fleet.scheduler.now() + random.nextInt(6) * 1_000_000_000L;
      case 3 -> {
        member.member.leave().forEach(fleet::serve);
        member.crash();
        member.start();
      }
      case 4 -> fleet.store.freeze(random.nextBoolean());
      case 5 -> {
        member.crash();
        member.restoresPersisted = random.nextInt(4) > 0;
        member.start();
      }
      case 6 -> member.canPersist = random.nextInt(3) > 0;
      case 7 -> member.listVersion = random.nextBoolean() ? 1 : Long.MAX_VALUE;
      case 8 -> operate(fleet, admin -> admin.declareLost(member.name));
      case 9 -> operate(fleet, admin -> admin.withdraw("not wanted"));
      default -> {
        ConfigContent content = StrictestCommonConfigTest.randomContent(random);
        operate(fleet, admin -> admin.propose(current -> content, "op", "why", 0));
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
      // The operation is not allowed in the current state.
      fleet.trace.accept(e.getMessage());
    }
  }

  @Test
  void tracesMatchRecordedDigest() throws AgreementException {
    for (long seed = 1; seed <= SCENARIOS; seed++) {
      runScenario(seed);
    }
    assertTrue(lineCount > 10_000, "too few trace lines: " + lineCount);
    assertEquals(
        "145338 600e80e7354b143524419177ac7f9efee91eaf242846292eee63928b726f96d8",
        lineCount + " " + HexFormat.of().formatHex(digest.digest()));
  }
}
