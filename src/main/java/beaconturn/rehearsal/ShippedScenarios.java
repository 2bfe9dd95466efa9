package beaconturn.rehearsal;

import beaconturn.toml.TomlException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** Scenario files, and folders of rehearsals, as the command line uses them. */
public final class ShippedScenarios {
  private ShippedScenarios() {}

  /** Returns a line for each scenario of a folder, with its file and what it is about. */
  public static String list(Path folder) throws IOException, TomlException {
    StringBuilder lines = new StringBuilder();
    for (Path file : files(folder)) {
      Scenario scenario = ScenarioReader.read(file.toString(), Files.readString(file), null);
      lines.append(String.format("%-45s %s%n", file, scenario.about()));
    }
    return lines.toString();
  }

  /** Returns the scenario files of a folder, sorted by path. */
  public static List<Path> files(Path folder) throws IOException {
    try (Stream<Path> paths = Files.list(folder)) {
      return paths.filter(file -> file.toString().endsWith(".toml")).sorted().toList();
    }
  }

  /** Returns the scenario as a file that contains all keys, defaults included. */
  public static String explain(Scenario scenario) {
    return ScenarioPrinter.print(scenario);
  }

  /** Returns the log files in the folder of a rehearsal, sorted by path. */
  public static List<Path> logs(Path folder) throws IOException {
    try (Stream<Path> paths = Files.list(folder)) {
      return paths.filter(file -> file.toString().endsWith(".log")).sorted().toList();
    }
  }

  /** Deletes a folder and its contents. */
  public static void delete(Path folder) throws IOException {
    try (Stream<Path> paths = Files.walk(folder)) {
      for (Path path : paths.sorted(Comparator.reverseOrder()).toList()) {
        Files.delete(path);
      }
    }
  }
}
