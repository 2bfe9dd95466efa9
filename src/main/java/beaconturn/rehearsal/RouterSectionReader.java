package beaconturn.rehearsal;

import beaconturn.toml.TomlException;
import beaconturn.toml.TomlSection;
import java.util.ArrayList;
import java.util.List;

/** Reads the routers of a scenario. */
final class RouterSectionReader {
  private static final int DEFAULT_MEMORY_MB = 192;
  private static final int DEFAULT_SOCKETS = 1024;
  private final TomlSection file;

  RouterSectionReader(TomlSection file) {
    this.file = file;
  }

  /** Reads the tables {@code [[router]]}; without any, returns two routers of the first site. */
  List<Scenario.RouterSpec> readRouters(List<String> sites) throws TomlException {
    List<Scenario.RouterSpec> routers = new ArrayList<>();
    for (TomlSection section : file.tables("router")) {
      int count = section.integer("count", 1, 1, ScenarioReader.MAX_ROUTERS);
      if (count > 1 && section.has("name")) {
        throw section.invalid("name", "given beside count, allowed is one of them");
      }
      for (int i = 0; i < count; i++) {
        routers.add(readRouter(section, routers, sites));
      }
    }
    if (routers.size() > ScenarioReader.MAX_ROUTERS) {
      throw file.invalid("router", "too many, allowed are " + ScenarioReader.MAX_ROUTERS);
    }
    if (routers.isEmpty()) {
      return List.of(defaultRouter("r1", sites.get(0)), defaultRouter("r2", sites.get(0)));
    }
    return List.copyOf(routers);
  }

  private static Scenario.RouterSpec defaultRouter(String name, String site) {
    return new Scenario.RouterSpec(name, DEFAULT_MEMORY_MB, DEFAULT_SOCKETS, site, 0, List.of());
  }

  private static Scenario.RouterSpec readRouter(
      TomlSection section, List<Scenario.RouterSpec> previousRouters, List<String> sites)
      throws TomlException {
    String name = section.text("name", "r" + (previousRouters.size() + 1));
    ScenarioReader.checkName(
        section, name, previousRouters.stream().map(Scenario.RouterSpec::name).toList());
    return new Scenario.RouterSpec(
        name,
        section.integer("memory_mb", DEFAULT_MEMORY_MB, 32, 4096),
        section.integer("sockets", DEFAULT_SOCKETS, 64, 65_536),
        section.choice("site", sites.get(0), sites),
        readClockOffset(section),
        section.texts("lacks", List.of()));
  }

  /** Returns by how many nanoseconds the clock is fast; negative if it is slow. */
  private static long readClockOffset(TomlSection section) throws TomlException {
    if (section.has("clock_fast") && section.has("clock_slow")) {
      throw section.invalid("clock_slow", "given beside clock_fast, allowed is one of them");
    }
    return section.durationNanos("clock_fast", 0, 0) - section.durationNanos("clock_slow", 0, 0);
  }
}
