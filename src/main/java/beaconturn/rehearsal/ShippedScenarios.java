package beaconturn.rehearsal;

import beaconturn.toml.TomlException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** Scenario files as the command line shows them. */
public final class ShippedScenarios {
  private ShippedScenarios() {}

  /** A line for each scenario of a folder: its file and what it is about. */
  public static String list(Path folder) throws IOException, TomlException {
    StringBuilder out = new StringBuilder();
    for (Path file : files(folder)) {
      Scenario scenario = ScenarioReader.read(file.toString(), Files.readString(file), null);
      out.append(String.format("%-45s %s%n", file, scenario.about()));
    }
    return out.toString();
  }

  /** The scenario files of a folder by name. */
  public static List<Path> files(Path folder) throws IOException {
    try (Stream<Path> all = Files.list(folder)) {
      return all.filter(file -> file.toString().endsWith(".toml")).sorted().toList();
    }
  }

  /** A scenario as a file that names every key. */
  public static String explain(Scenario scenario) {
    return ScenarioPrinter.of(scenario);
  }

  /** The logs in a folder of a play. */
  public static List<Path> logs(Path folder) throws IOException {
    try (Stream<Path> all = Files.list(folder)) {
      return all.filter(file -> file.toString().endsWith(".log")).sorted().toList();
    }
  }

  /** Deletes a folder and what is in it. */
  public static void delete(Path folder) throws IOException {
    try (Stream<Path> all = Files.walk(folder)) {
      for (Path file : all.sorted(Comparator.reverseOrder()).toList()) {
        Files.delete(file);
      }
    }
  }
}
