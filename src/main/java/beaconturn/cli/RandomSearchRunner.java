package beaconturn.cli;

import beaconturn.history.InvariantResult;
import beaconturn.rehearsal.ProcessLauncher;
import beaconturn.rehearsal.RandomScenario;
import beaconturn.rehearsal.Rehearsal;
import beaconturn.rehearsal.RehearsalReport;
import beaconturn.rehearsal.RouterLauncher;
import beaconturn.rehearsal.Scenario;
import beaconturn.rehearsal.ShippedScenarios;
import beaconturn.toml.TomlException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.List;
import java.util.Locale;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/**
 * A search: plays so many scenarios made of chance, some beside each other, and keeps what is
 * needed to play one again that broke a rule.
 */
final class RandomSearchRunner {
  private static final int BROKEN = 3;
  private static final int WRONG_INPUT = 1;
  private static final double MILLI = 1e6;
  private final RandomScenario.Kind about;
  private final int plays;
  private final long firstSeed;
  private final int routers;
  private final int atOnce;
  private final Path kept;
  private final RouterLauncher launcher;
  // Guarded by this:
  private int held;
  private int broken;
  private int unplayed;
  private long checked;
  private long longest;
  private long stated;
  private final SortedMap<String, Integer> releases = new TreeMap<>();

  RandomSearchRunner(
      RandomScenario.Kind about,
      int plays,
      long firstSeed,
      int routers,
      int atOnce,
      String kept,
      String jar) {
    this.about = about;
    this.plays = plays;
    this.firstSeed = firstSeed;
    this.routers = routers;
    this.atOnce = atOnce;
    this.kept = Path.of(kept == null ? "." : kept);
    this.launcher =
        jar == null
            ? ProcessLauncher.ofCurrentProgram(Main.class.getName())
            : ProcessLauncher.ofJar(Path.of(jar));
  }

  /** Storms of routers from a jar, or of this program's own where that is null. */
  static RandomSearchRunner of(
      String about, int plays, long firstSeed, int routers, int atOnce, String kept, String jar) {
    return new RandomSearchRunner(
        RandomScenario.Kind.valueOf(about.toUpperCase(Locale.ROOT)),
        plays,
        firstSeed,
        routers,
        atOnce,
        kept,
        jar);
  }

  int run() {
    ExecutorService lanes = Executors.newFixedThreadPool(atOnce);
    for (int i = 0; i < plays; i++) {
      long seed = firstSeed + i;
      lanes.execute(() -> play(seed));
    }
    lanes.shutdown();
    try {
      lanes.awaitTermination(Long.MAX_VALUE, TimeUnit.NANOSECONDS);
    } catch (InterruptedException e) {
      lanes.shutdownNow();
      Thread.currentThread().interrupt();
      return WRONG_INPUT;
    }
    System.out.printf(
        Locale.ROOT,
        "%d plays, seeds %d to %d: %d held, %d broken, %d not played%n",
        plays,
        firstSeed,
        firstSeed + plays - 1,
        held,
        broken,
        unplayed);
    if (about != RandomScenario.Kind.CLIENTS) {
      System.out.printf(
          Locale.ROOT,
          "%d routers each; longest contradiction %.0f ms of %.0f ms stated," + " %d chances%n",
          routers,
          longest / MILLI,
          stated / MILLI,
          checked);
    }
    if (about == RandomScenario.Kind.RELEASES) {
      System.out.println("releases ended as " + releases);
    }
    return broken > 0 ? BROKEN : unplayed > 0 ? WRONG_INPUT : 0;
  }

  private void play(long seed) {
    try {
      Scenario scenario = RandomScenario.generate(about, seed, routers);
      Path folder = Files.createTempDirectory("storm-" + seed + "-");
      RehearsalReport report = new Rehearsal(scenario, launcher, folder, text -> {}).run();
      List<String> rules =
          report.results().stream().filter(v -> !v.held()).map(InvariantResult::invariant).toList();
      if (!rules.isEmpty()) {
        Path story = Files.createDirectories(kept.resolve("storm-" + seed));
        Files.writeString(
            story.resolve("storm.toml"), RandomScenario.generateText(about, seed, routers));
        Files.writeString(story.resolve("report.txt"), report.text());
        Files.writeString(story.resolve("report.json"), report.json());
        for (Path log : ShippedScenarios.logs(folder)) {
          Files.copy(
              log,
              story.resolve(log.getFileName().toString()),
              StandardCopyOption.REPLACE_EXISTING);
        }
      }
      ShippedScenarios.delete(folder);
      count(seed, report, rules);
    } catch (IOException | TomlException | RuntimeException e) {
      unplayed(seed, e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private synchronized void unplayed(long seed, Exception e) {
    unplayed++;
    System.out.println("storm " + seed + ": not played: " + e.getMessage());
  }

  private synchronized void count(long seed, RehearsalReport report, List<String> rules) {
    held += rules.isEmpty() ? 1 : 0;
    broken += rules.isEmpty() ? 0 : 1;
    for (InvariantResult v : report.results()) {
      if (v.invariant().equals("no-contradiction")) {
        checked += v.checked();
        longest = Math.max(longest, v.maxNanos());
      }
    }
    releases.merge(report.releaseOutcome(), 1, Integer::sum);
    stated =
        report.scenario().agreement() == null
            ? 0
            : report.scenario().agreement().timing().maxStalenessNanos();
    System.out.println(
        "storm "
            + seed
            + ": "
            + (rules.isEmpty() ? "held" : "BROKEN " + String.join(", ", rules))
            + "; "
            + report.summary());
  }
}
