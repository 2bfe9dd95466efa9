package beaconturn.zones;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * Routers of two builds work on one plan, and any of them may be the leader that makes the next
 * one: what planner and members decide stays exactly the same when their code is cut anew. Seeded
 * scenarios hold each plan, its reasons, and each request of the members in a digest.
 */
class FailoverTraceTest {
  private static final long SECOND = 1_000_000_000;
  private static final int PLANNER_SCENARIOS = 60;
  private static final int PLANNER_TICKS = 800;
  private static final int MEMBER_SCENARIOS = 2;
  private static final int ROUTERS = 3;

  private final MessageDigest digest = sha256();
  private long lines;
  private long plans;

  private static MessageDigest sha256() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }

  private void add(String line) {
    lines++;
    digest.update((line + "\n").getBytes(StandardCharsets.UTF_8));
  }

  private String result() {
    return lines + " " + HexFormat.of().formatHex(digest.digest());
  }

  private void plan(long seed) {
    RandomReports reports = new RandomReports(seed);
    FailoverTiming timing =
        new FailoverTiming(
            SECOND, (1 + seed % 3) * SECOND, 20 * SECOND, SECOND / (1 + seed % 2), 2 * SECOND);
    FailoverPlanner planner =
        new FailoverPlanner(reports.topology, timing, 3 * SECOND / 2, 2 * SECOND, 30 * SECOND);
    Random random = new Random(seed);
    ZonePlan plan = ZonePlan.initial(reports.topology);
    long now = seed * SECOND;
    for (int i = 0; i < PLANNER_TICKS; i++) {
      if (random.nextInt(20) == 0) {
        reports.disturb();
      }
      now += SECOND / 4;
      ZonePlan next = planner.next(plan, reports.after(0.25, plan), reports.overrides, "me", now);
      add(planner.waitReason() + " " + planner.describeEvidence());
      if (next != null) {
        add(ZonesCodec.encode(next));
        // The store may have refused the step.
        boolean taken = random.nextInt(5) > 0;
        plan = taken ? next : plan;
        plans++;
      }
    }
  }

  @Test
  void thePlannerDecidesExactlyAsBefore() {
    for (long seed = 1; seed <= PLANNER_SCENARIOS; seed++) {
      plan(seed);
    }
    assertTrue(plans > 500, "few plans were made: " + plans);
    assertEquals(
        "49446 b65323ba0d36402613f360f08ba7330526cbe98707d7c25e8cd5ec5335495674", result());
  }

  @Test
  void membersDoExactlyWhatTheyDidBefore() {
    for (long seed = 1; seed <= MEMBER_SCENARIOS; seed++) {
      RandomFailoverScenario scenario = RandomFailoverScenario.of(seed, ROUTERS);
      SimulatedZones[] played = new SimulatedZones[1];
      String failure =
          scenario.fails(
              world -> {
                world.trace = this::add;
                world.byChance = true;
                played[0] = world;
              });
      // Which request has failed is named for people only.
      played[0].log.forEach(line -> add(line.replaceAll("\\([A-Z_]+\\)", "")));
      add("seed " + seed + ": " + failure);
    }
    assertEquals(
        "222122 e5fb2ca10ed0c8a2401c0dd864ecdcdaccaa8ba10836647748adb1b680845c95", result());
  }
}
