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
 * Runs what {@code rehearse} was asked for; {@code file} null stands for the list of shipped
 * scenarios.
 */
record RehearseRunner(
    String file, Long seed, String router, String json, String html, String logs, boolean explain) {
  private static final int BROKEN = 3;
  private static final int WRONG_INPUT = 1;

  int run() {
    try {
      if (file == null) {
        System.out.print(ShippedScenarios.list(Path.of("examples", "rehearsals")));
        return 0;
      }
      Scenario scenario = ScenarioReader.read(file, Files.readString(Path.of(file)), seed);
      if (explain) {
        System.out.print(ShippedScenarios.explain(scenario));
        return 0;
      }
      return play(scenario);
    } catch (IOException e) {
      System.err.println("rehearse: " + e.getClass().getSimpleName() + ": " + e.getMessage());
    } catch (TomlException e) {
      System.err.println(e.getMessage());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    return WRONG_INPUT;
  }

  private int play(Scenario scenario) throws IOException, InterruptedException {
    Path folder = logs == null ? Files.createTempDirectory("rehearsal") : Path.of(logs);
    Files.createDirectories(folder);
    try (Stream<Path> there = Files.list(folder)) {
      if (there.findAny().isPresent()) {
        // Routers would begin with what those of another play have kept, and follow no new store.
        throw new IOException(folder + " holds files of another play, name an empty folder");
      }
    }
    ProgressLine progress = new ProgressLine(System.err);
    try {
      RehearsalReport report = new Rehearsal(scenario, launcher(), folder, progress::say).run();
      progress.clear();
      String about = scenario.about().isEmpty() ? "" : ": " + scenario.about();
      System.out.println(scenario.name() + about + "\n");
      System.out.print(report.text());
      if (json != null) {
        Files.writeString(Path.of(json), report.json());
      }
      if (html != null) {
        Files.writeString(Path.of(html), report.html());
      }
      return report.held() ? 0 : BROKEN;
    } finally {
      progress.clear();
      if (logs == null) {
        ShippedScenarios.delete(folder);
      }
    }
  }

  private RouterLauncher launcher() {
    if (router == null) {
      return ProcessLauncher.ofCurrentProgram(Main.class.getName());
    }
    return router.equals("embedded") ? new EmbeddedLauncher() : ProcessLauncher.ofJar(Path.of(router));
  }
}
