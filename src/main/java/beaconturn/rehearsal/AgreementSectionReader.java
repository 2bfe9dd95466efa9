package beaconturn.rehearsal;

import beaconturn.toml.TomlException;
import beaconturn.toml.TomlSection;
import java.util.ArrayList;
import java.util.List;

/** Reads the agreement, the configuration versions and the zones of a scenario. */
final class AgreementSectionReader {
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long NANOS_PER_SECOND = 1000 * NANOS_PER_MILLI;
  private final TomlSection file;

  AgreementSectionReader(TomlSection file) {
    this.file = file;
  }

  /** Reads the table {@code [agreement]}; returns null if it is missing. */
  Scenario.Agreement readAgreement() throws TomlException {
    if (!file.has("agreement")) {
      return null;
    }
    TomlSection section = file.table("agreement");
    return new Scenario.Agreement(
        section.durationNanos("lease", 2 * NANOS_PER_SECOND, NANOS_PER_SECOND),
        section.number("drift", 0.01, 0, 0.2));
  }

  /** Reads the tables {@code [[version]]}. */
  static List<Scenario.VersionSpec> readVersions(
      List<TomlSection> sections, Scenario.Agreement agreement, ScenarioOutline outline)
      throws TomlException {
    List<Scenario.VersionSpec> versions = new ArrayList<>();
    for (TomlSection section : sections) {
      if (agreement == null) {
        throw section.invalid("", "needs an [agreement] table");
      }
      versions.add(readVersion(section, outline));
    }
    return List.copyOf(versions);
  }

  private static Scenario.VersionSpec readVersion(TomlSection section, ScenarioOutline outline)
      throws TomlException {
    List<String> serverNames = outline.fleet().cacheServerNames();
    List<String> excludedServers = section.texts("out", List.of());
    for (String name : excludedServers) {
      if (!serverNames.contains(name)) {
        throw section.invalid(
            "out", "there is no '" + name + "', there are " + String.join(", ", serverNames));
      }
    }
    Trigger after = outline.readTrigger(section, "after");
    long atNanos = section.durationNanos("at", after == null ? 2 * NANOS_PER_SECOND : 0, 0);
    outline.checkWithinLength(section, "at", atNanos);
    return new Scenario.VersionSpec(
        atNanos,
        after,
        section.text("reason", "as the scenario has it"),
        excludedServers,
        section.integer("most_tries", 0, 0, 64),
        section.texts("unsafe", List.of()),
        section.bool("newest_list", false),
        section.bool("dies", false));
  }

  /** Reads the table {@code [zones]}; returns null if it is missing. */
  Scenario.ZonesSpec readZones(Scenario.Agreement agreement, Scenario.Fleet fleet)
      throws TomlException {
    if (!file.has("zones")) {
      return null;
    }
    TomlSection section = file.table("zones");
    if (agreement == null || fleet.distinctSites().size() < 2) {
      throw section.invalid("", "needs an [agreement] table and two sites at least");
    }
    List<String> regions = section.texts("regions", List.of());
    if (!regions.isEmpty() && regions.size() != fleet.distinctSites().size()) {
      throw section.invalid(
          "regions",
          regions.size()
              + " of them, allowed is one for each of the sites "
              + String.join(", ", fleet.distinctSites()));
    }
    return new Scenario.ZonesSpec(
        section.bool("decided", true),
        section.number("each_per_s", 100, 0.1, 1e6),
        section.number("fetches_per_s", 1e6, 1, 1e6),
        section.integer("reserve", 50, 0, 50),
        section.durationNanos("back_within", 30 * NANOS_PER_SECOND, 0),
        section.number("peak", 1.2, 0.1, 100),
        regions);
  }
}
