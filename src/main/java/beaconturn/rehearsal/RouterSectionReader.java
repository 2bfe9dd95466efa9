package beaconturn.rehearsal;

import beaconturn.toml.TomlException;
import beaconturn.toml.TomlSection;
import java.util.ArrayList;
import java.util.List;

/** The reader of a scenario's routers. */
final class RouterSectionReader {
  private static final int DEFAULT_MEMORY_MB = 192;
  private static final int DEFAULT_SOCKETS = 1024;
  private final TomlSection file;

  RouterSectionReader(TomlSection file) {
    this.file = file;
  }

  /** Reads the tables {@code [[router]]}; two routers of the first site where there is none. */
  List<Scenario.RouterSpec> readRouters(List<String> sites) throws TomlException {
    List<Scenario.RouterSpec> routers = new ArrayList<>();
    for (TomlSection section : file.tables("router")) {
      int count = section.integer("count", 1, 1, ScenarioReader.MOST_ROUTERS);
      if (count > 1 && section.has("name")) {
        throw section.invalid("name", "given beside count, allowed is one of them");
      }
      for (int i = 0; i < count; i++) {
        routers.add(readRouter(section, routers, sites));
      }
    }
    if (routers.size() > ScenarioReader.MOST_ROUTERS) {
      throw file.invalid("router", "too many, allowed are " + ScenarioReader.MOST_ROUTERS);
    }
    if (routers.isEmpty()) {
      return List.of(usualRouter("r1", sites.get(0)), usualRouter("r2", sites.get(0)));
    }
    return List.copyOf(routers);
  }

  private static Scenario.RouterSpec usualRouter(String name, String site) {
    return new Scenario.RouterSpec(name, DEFAULT_MEMORY_MB, DEFAULT_SOCKETS, site, 0, List.of());
  }

  private static Scenario.RouterSpec readRouter(
      TomlSection section, List<Scenario.RouterSpec> before, List<String> sites)
      throws TomlException {
    String name = section.text("name", "r" + (before.size() + 1));
    ScenarioReader.checkName(
        section, name, before.stream().map(Scenario.RouterSpec::name).toList());
    return new Scenario.RouterSpec(
        name,
        section.integer("memory_mb", DEFAULT_MEMORY_MB, 32, 4096),
        section.integer("sockets", DEFAULT_SOCKETS, 64, 65_536),
        section.choice("site", sites.get(0), sites),
        readClockOffset(section),
        section.texts("lacks", List.of()));
  }

  /** Returns by how many nanoseconds the clock is fast; below 0 where it is slow. */
  private static long readClockOffset(TomlSection section) throws TomlException {
    if (section.has("clock_fast") && section.has("clock_slow")) {
      throw section.invalid("clock_slow", "given beside clock_fast, allowed is one of them");
    }
    return section.durationNanos("clock_fast", 0, 0) - section.durationNanos("clock_slow", 0, 0);
  }
}
