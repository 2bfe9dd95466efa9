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
 * Runs a number of random scenarios, several in parallel, and writes the scenario, report and logs
 * of each that violates an invariant to a directory of its own.
 */
final class RandomSearchRunner {
  private static final int EXIT_VIOLATION = 3;
  private static final int EXIT_ERROR = 1;
  private static final double NANOS_PER_MILLI = 1e6;
  private final RandomScenario.Kind kind;
  private final int runs;
  private final long firstSeed;
  private final int routers;
  private final int parallelRuns;
  private final Path outputDirectory;
  private final RouterLauncher launcher;

  // The following fields are guarded by this.
  private int heldRuns;
  private int violatingRuns;
  private int failedRuns;
  private long checkedCases;
  private long longestContradictionNanos;
  private long maxStalenessNanos;
  private final SortedMap<String, Integer> releaseOutcomes = new TreeMap<>();

  RandomSearchRunner(
      RandomScenario.Kind kind,
      int runs,
      long firstSeed,
      int routers,
      int parallelRuns,
      String outputDirectory,
      String jar) {
    this.kind = kind;
    this.runs = runs;
    this.firstSeed = firstSeed;
    this.routers = routers;
    this.parallelRuns = parallelRuns;
    this.outputDirectory = Path.of(outputDirectory == null ? "." : outputDirectory);
    this.launcher =
        jar == null
            ? ProcessLauncher.ofCurrentProgram(Main.class.getName())
            : ProcessLauncher.ofJar(Path.of(jar));
  }

  /** Creates a search with routers from a jar, or from this program if the jar is null. */
  static RandomSearchRunner of(
      String kind,
      int runs,
      long firstSeed,
      int routers,
      int parallelRuns,
      String outputDirectory,
      String jar) {
    return new RandomSearchRunner(
        RandomScenario.Kind.valueOf(kind.toUpperCase(Locale.ROOT)),
        runs,
        firstSeed,
        routers,
        parallelRuns,
        outputDirectory,
        jar);
  }

  int run() {
    ExecutorService executor = Executors.newFixedThreadPool(parallelRuns);
    for (int i = 0; i < runs; i++) {
      long seed = firstSeed + i;
      executor.execute(() -> runScenario(seed));
    }
    executor.shutdown();
    try {
      executor.awaitTermination(Long.MAX_VALUE, TimeUnit.NANOSECONDS);
    } catch (InterruptedException e) {
      executor.shutdownNow();
      Thread.currentThread().interrupt();
      return EXIT_ERROR;
    }
    System.out.printf(
        Locale.ROOT,
        "%d plays, seeds %d to %d: %d held, %d broken, %d not played%n",
        runs,
        firstSeed,
        firstSeed + runs - 1,
        heldRuns,
        violatingRuns,
        failedRuns);
    if (kind != RandomScenario.Kind.CLIENTS) {
      System.out.printf(
          Locale.ROOT,
          "%d routers each; longest contradiction %.0f ms of %.0f ms stated," + " %d chances%n",
          routers,
          longestContradictionNanos / NANOS_PER_MILLI,
          maxStalenessNanos / NANOS_PER_MILLI,
          checkedCases);
    }
    if (kind == RandomScenario.Kind.RELEASES) {
      System.out.println("releases ended as " + releaseOutcomes);
    }
    return violatingRuns > 0 ? EXIT_VIOLATION : failedRuns > 0 ? EXIT_ERROR : 0;
  }

  private void runScenario(long seed) {
    try {
      Scenario scenario = RandomScenario.generate(kind, seed, routers);
      Path directory = Files.createTempDirectory("storm-" + seed + "-");
      RehearsalReport report = new Rehearsal(scenario, launcher, directory, text -> {}).run();
      List<String> violatedInvariants =
          report.results().stream()
              .filter(result -> !result.held())
              .map(InvariantResult::invariant)
              .toList();
      if (!violatedInvariants.isEmpty()) {
        Path violationDirectory = Files.createDirectories(outputDirectory.resolve("storm-" + seed));
        Files.writeString(
            violationDirectory.resolve("storm.toml"),
            RandomScenario.generateText(kind, seed, routers));
        Files.writeString(violationDirectory.resolve("report.txt"), report.text());
        Files.writeString(violationDirectory.resolve("report.json"), report.json());
        for (Path log : ShippedScenarios.logs(directory)) {
          Files.copy(
              log,
              violationDirectory.resolve(log.getFileName().toString()),
              StandardCopyOption.REPLACE_EXISTING);
        }
      }
      ShippedScenarios.delete(directory);
      recordResult(seed, report, violatedInvariants);
    } catch (IOException | TomlException | RuntimeException e) {
      recordFailure(seed, e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private synchronized void recordFailure(long seed, Exception e) {
    failedRuns++;
    System.out.println("storm " + seed + ": not played: " + e.getMessage());
  }

  private synchronized void recordResult(
      long seed, RehearsalReport report, List<String> violatedInvariants) {
    heldRuns += violatedInvariants.isEmpty() ? 1 : 0;
    violatingRuns += violatedInvariants.isEmpty() ? 0 : 1;
    for (InvariantResult result : report.results()) {
      if (result.invariant().equals("no-contradiction")) {
        checkedCases += result.checked();
        longestContradictionNanos = Math.max(longestContradictionNanos, result.maxNanos());
      }
    }
    releaseOutcomes.merge(report.releaseOutcome(), 1, Integer::sum);
    maxStalenessNanos =
        report.scenario().agreement() == null
            ? 0
            : report.scenario().agreement().timing().maxStalenessNanos();
    System.out.println(
        "storm "
            + seed
            + ": "
            + (violatedInvariants.isEmpty()
                ? "held"
                : "BROKEN " + String.join(", ", violatedInvariants))
            + "; "
            + report.summary());
  }
}
