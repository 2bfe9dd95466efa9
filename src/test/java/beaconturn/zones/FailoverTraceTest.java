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
 * Pins the decisions of planner and members to digests over seeded scenarios. Routers of two builds
 * share one plan and either may lead, so that refactoring must not change any plan, plan reason,
 * log line or request.
 */
class FailoverTraceTest {
  private static final long SECOND_NANOS = 1_000_000_000;
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

  private void tracePlanner(long seed) {
    RandomReports reports = new RandomReports(seed);
    FailoverTiming timing =
        new FailoverTiming(
            SECOND_NANOS,
            (1 + seed % 3) * SECOND_NANOS,
            20 * SECOND_NANOS,
            SECOND_NANOS / (1 + seed % 2),
            2 * SECOND_NANOS);
    FailoverPlanner planner =
        new FailoverPlanner(
            reports.topology, timing, 3 * SECOND_NANOS / 2, 2 * SECOND_NANOS, 30 * SECOND_NANOS);
    Random random = new Random(seed);
    ZonePlan plan = ZonePlan.initial(reports.topology);
    long nowNanos = seed * SECOND_NANOS;
    for (int i = 0; i < PLANNER_TICKS; i++) {
      if (random.nextInt(20) == 0) {
        reports.disturb();
      }
      nowNanos += SECOND_NANOS / 4;
      ZonePlan next =
          planner.next(plan, reports.after(0.25, plan), reports.overrides, "me", nowNanos);
      add(planner.waitReason() + " " + planner.describeEvidence());
      if (next != null) {
        add(ZonesCodec.encode(next));
        // The store may have rejected the transaction.
        boolean committed = random.nextInt(5) > 0;
        plan = committed ? next : plan;
        plans++;
      }
    }
  }

  @Test
  void plannerDecisionsMatchDigest() {
    for (long seed = 1; seed <= PLANNER_SCENARIOS; seed++) {
      tracePlanner(seed);
    }
    assertTrue(plans > 500, "too few plans were made: " + plans);
    assertEquals(
        "49446 b65323ba0d36402613f360f08ba7330526cbe98707d7c25e8cd5ec5335495674", result());
  }

  @Test
  void memberRequestsMatchDigest() {
    for (long seed = 1; seed <= MEMBER_SCENARIOS; seed++) {
      RandomFailoverScenario scenario = RandomFailoverScenario.of(seed, ROUTERS);
      SimulatedZones[] simulations = new SimulatedZones[1];
      String failure =
          scenario.failure(
              simulation -> {
                simulation.trace = this::add;
                simulation.poissonArrivals = true;
                simulations[0] = simulation;
              });
      // Purposes of failed requests are names of enum constants, which may be renamed.
      simulations[0].log.forEach(line -> add(line.replaceAll("\\([A-Z_]+\\)", "")));
      add("seed " + seed + ": " + failure);
    }
    assertEquals(
        "222122 e5fb2ca10ed0c8a2401c0dd864ecdcdaccaa8ba10836647748adb1b680845c95", result());
  }
}
