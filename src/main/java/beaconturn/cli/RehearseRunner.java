package beaconturn.cli;

import beaconturn.rehearsal.ProcessLauncher;
import beaconturn.rehearsal.Rehearsal;
import beaconturn.rehearsal.RehearsalReport;
import beaconturn.rehearsal.RouterLauncher;
import beaconturn.rehearsal.Scenario;
import beaconturn.rehearsal.ScenarioReader;
import beaconturn.rehearsal.ShippedScenarios;
import beaconturn.toml.TomlException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;

/**
 * Executes the {@code rehearse} command for one scenario, or lists the shipped scenarios.
 *
 * @param scenarioFile the scenario, or null to list the shipped ones
 * @param seed replaces the scenario's seed, or null
 * @param router a jar, {@code embedded}, or null for this program's own routers
 * @param jsonFile where the report is written as JSON, or null
 * @param htmlFile where the report is written as a page, or null
 * @param logsDirectory an empty directory for configurations and logs, or null to keep none
 * @param explain whether to print the scenario with its defaults instead of running it
 */
record RehearseRunner(
    String scenarioFile,
    Long seed,
    String router,
    String jsonFile,
    String htmlFile,
    String logsDirectory,
    boolean explain) {
  private static final int EXIT_VIOLATION = 3;
  private static final int EXIT_ERROR = 1;

  int run() {
    try {
      if (scenarioFile == null) {
        System.out.print(ShippedScenarios.list(Path.of("examples", "rehearsals")));
        return 0;
      }
      Scenario scenario =
          ScenarioReader.read(scenarioFile, Files.readString(Path.of(scenarioFile)), seed);
      if (explain) {
        System.out.print(ShippedScenarios.explain(scenario));
        return 0;
      }
      return runScenario(scenario);
    } catch (IOException e) {
      System.err.println("rehearse: " + e.getClass().getSimpleName() + ": " + e.getMessage());
    } catch (TomlException e) {
      System.err.println(e.getMessage());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    return EXIT_ERROR;
  }

  private int runScenario(Scenario scenario) throws IOException, InterruptedException {
    Path directory =
        logsDirectory == null ? Files.createTempDirectory("rehearsal") : Path.of(logsDirectory);
    Files.createDirectories(directory);
    try (Stream<Path> files = Files.list(directory)) {
      if (files.findAny().isPresent()) {
        // Routers would load the persisted state of an earlier run and not follow the new store.
        throw new IOException(
            directory + " is not empty, choose an empty directory for --keep-logs");
      }
    }
    ProgressLine progress = new ProgressLine(System.err);
    try {
      RehearsalReport report = new Rehearsal(scenario, launcher(), directory, progress::show).run();
      progress.clear();
      String about = scenario.about().isEmpty() ? "" : ": " + scenario.about();
      System.out.println(scenario.name() + about + "\n");
      System.out.print(report.text());
      if (jsonFile != null) {
        Files.writeString(Path.of(jsonFile), report.json());
      }
      if (htmlFile != null) {
        Files.writeString(Path.of(htmlFile), report.html());
      }
      return report.held() ? 0 : EXIT_VIOLATION;
    } finally {
      progress.clear();
      if (logsDirectory == null) {
        ShippedScenarios.delete(directory);
      }
    }
  }

  private RouterLauncher launcher() {
    if (router == null) {
      return ProcessLauncher.ofCurrentProgram(Main.class.getName());
    }
    return router.equals("embedded")
        ? new EmbeddedLauncher()
        : ProcessLauncher.ofJar(Path.of(router));
  }
}
