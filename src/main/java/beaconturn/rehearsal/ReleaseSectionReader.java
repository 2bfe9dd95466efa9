package beaconturn.rehearsal;

import beaconturn.toml.TomlException;
import beaconturn.toml.TomlSection;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Reads the release and the operators' commands of a scenario. */
final class ReleaseSectionReader {
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long NANOS_PER_SECOND = 1000 * NANOS_PER_MILLI;
  private static final List<String> COMMANDS =
      List.of(
          "halt",
          "resume",
          "back",
          "abandon",
          "drain",
          "undrain",
          "lost",
          "budget",
          "zone-drain",
          "zone-free");

  /** Commands that take the name of one instance or site. */
  private static final List<String> COMMANDS_WITH_TARGET =
      List.of("drain", "undrain", "lost", "zone-drain", "zone-free");

  private final TomlSection file;
  private final ScenarioOutline outline;

  ReleaseSectionReader(TomlSection file, ScenarioOutline outline) {
    this.file = file;
    this.outline = outline;
  }

  /** Reads the table {@code [release]}; returns null if it is missing. */
  Scenario.ReleaseSpec readRelease(Scenario.Agreement agreement) throws TomlException {
    if (!file.has("release")) {
      return null;
    }
    TomlSection section = file.table("release");
    if (agreement == null) {
      throw section.invalid("", "needs an [agreement] table");
    }
    boolean ofCacheServers =
        section.choice("kind", "router", List.of("router", "cache")).equals("cache");
    List<List<String>> waves = readWaves(section, ofCacheServers);
    Trigger after = outline.readTrigger(section, "after");
    Scenario.Defect defect = readDefect(section, ofCacheServers);
    return new Scenario.ReleaseSpec(
        ofCacheServers,
        section.bool("begins", true),
        section.durationNanos("at", after == null ? 2 * NANOS_PER_SECOND : 0, 0),
        after,
        section.integer("most_out", 1, 1, ScenarioReader.MAX_ROUTERS),
        section.integer("most_out_of_site", 1, 1, ScenarioReader.MAX_ROUTERS),
        waves,
        section.durationNanos("soak", NANOS_PER_SECOND, 0),
        section.integer("samples", 20, 0, 1_000_000),
        section.number("worse", 0.05, 0, 1),
        section.durationNanos("limit", 10 * NANOS_PER_SECOND, NANOS_PER_SECOND),
        section.durationNanos("alone", 0, 0),
        defect,
        section.durationNanos("good_for", defect.defaultHealthyNanos(), 0),
        section.integer("most_tries", 0, 0, 64),
        section.integer("spare", -1, -1, ScenarioReader.MAX_ROUTERS),
        section.number("cores", 0, 0, 1000),
        section.number("worse_missed", 0.4, 0, 1));
  }

  private List<List<String>> readWaves(TomlSection section, boolean ofCacheServers)
      throws TomlException {
    List<String> names =
        ofCacheServers ? outline.fleet().cacheServerNames() : outline.routerNames();
    List<List<String>> waves = new ArrayList<>();
    for (TomlSection waveSection : section.tables("wave")) {
      List<String> instances = waveSection.texts("parts", List.of());
      if (instances.isEmpty() || !names.containsAll(instances)) {
        throw waveSection.invalid(
            "parts", instances + " cannot be released, there are " + String.join(", ", names));
      }
      waves.add(instances);
    }
    return waves;
  }

  private static Scenario.Defect readDefect(TomlSection section, boolean ofCacheServers)
      throws TomlException {
    String word =
        section.choice("harm", "none", ScenarioReader.lowerCaseNames(Scenario.Defect.values()));
    Scenario.Defect defect = Scenario.Defect.valueOf(word.toUpperCase(Locale.ROOT));
    if (ofCacheServers && (defect == Scenario.Defect.FADES || defect == Scenario.Defect.LEAKS)) {
      throw section.invalid("harm", "'" + word + "' is only possible for routers");
    }
    return defect;
  }

  /** Reads the tables {@code [[order]]}. */
  List<Scenario.OperatorCommandSpec> readOperatorCommands(Scenario.ReleaseSpec release)
      throws TomlException {
    List<Scenario.OperatorCommandSpec> commands = new ArrayList<>();
    for (TomlSection section : file.tables("order")) {
      commands.add(readOperatorCommand(section, release));
    }
    return List.copyOf(commands);
  }

  private Scenario.OperatorCommandSpec readOperatorCommand(
      TomlSection section, Scenario.ReleaseSpec release) throws TomlException {
    Trigger after = outline.readTrigger(section, "after");
    String command = section.choice("what", "halt", COMMANDS);
    boolean aboutZone = command.startsWith("zone-");
    boolean hasTable = aboutZone ? file.has("zones") : release != null;
    if (!hasTable) {
      throw section.invalid("", "needs a " + (aboutZone ? "[zones]" : "[release]") + " table");
    }
    List<String> targets = possibleTargets(command, release);
    String target =
        COMMANDS_WITH_TARGET.contains(command)
            ? section.choice("part", targets.get(0), targets)
            : "";
    return new Scenario.OperatorCommandSpec(
        section.durationNanos("at", after == null ? 5 * NANOS_PER_SECOND : 0, 0),
        after,
        command,
        target,
        command.equals("budget")
            ? section.integer("most_out", 1, 0, ScenarioReader.MAX_ROUTERS)
            : 0);
  }

  private List<String> possibleTargets(String command, Scenario.ReleaseSpec release) {
    if (command.startsWith("zone-")) {
      return outline.fleet().distinctSites();
    }
    boolean aboutRouter = command.equals("lost") && !release.ofCacheServers();
    return aboutRouter ? outline.routerNames() : outline.fleet().cacheServerNames();
  }
}
