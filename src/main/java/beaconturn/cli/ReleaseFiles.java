package beaconturn.cli;

import beaconturn.agreement.ConfigContent;
import beaconturn.net.ConfigException;
import beaconturn.release.DefaultWaves;
import beaconturn.release.InstanceKind;
import beaconturn.release.RegressionBounds;
import beaconturn.release.ReleaseFleet;
import beaconturn.release.RolloutPlan;
import beaconturn.toml.TomlException;
import beaconturn.toml.TomlSection;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/** Reads the operators' files for releases: the definition of a fleet and the plan of a release. */
final class ReleaseFiles {
  private static final long NANOS_PER_SECOND = 1_000_000_000;
  private static final long DEFAULT_SOAK_NANOS = 60 * NANOS_PER_SECOND;
  private static final long DEFAULT_READY_TIMEOUT_NANOS = 60 * NANOS_PER_SECOND;
  private static final int DEFAULT_MIN_RESPONSES = 200;
  private static final int MAX_MIN_RESPONSES = 1_000_000;
  private static final double MAX_RESPONSES_PER_SECOND = 1e9;
  private static final int MAX_CORES = 4096;
  private static final int MAX_INSTANCES = 10_000;

  /** Upper limit of the allowed relative growth of memory and of the latency of hits. */
  private static final double MAX_GROWTH_RATIO = 1000;

  private ReleaseFiles() {}

  /** Reads the instances of a fleet and its disruption budget. */
  static ReleaseFleet readFleet(String file) throws ConfigException {
    return OperatorFile.read(
        file,
        root -> {
          Map<InstanceKind, ReleaseFleet.Group> groups = new EnumMap<>(InstanceKind.class);
          for (InstanceKind kind : InstanceKind.values()) {
            if (root.has(kind.serializedName() + "s")) {
              groups.put(kind, parseGroup(root.table(kind.serializedName() + "s")));
            }
          }
          if (groups.isEmpty()) {
            throw root.invalid("routers", "neither [routers] nor [caches] is given");
          }
          return new ReleaseFleet(groups);
        });
  }

  private static ReleaseFleet.Group parseGroup(TomlSection section) throws TomlException {
    SortedMap<String, List<String>> instancesByZone = parseInstancesByZone(section);
    int instances = instancesByZone.values().stream().mapToInt(List::size).sum();
    int defaultTolerated = section.has("each_per_s") ? 1 : -1;
    return new ReleaseFleet.Group(
        countOrShare(section, "most_out", "share_out", instances),
        countOrShare(section, "most_out_of_site", "share_out_of_site", instances),
        instancesByZone,
        new ReleaseFleet.Capacity(
            section.number("each_per_s", 0, 0, MAX_RESPONSES_PER_SECOND),
            section.number("cores", 0, 0, MAX_CORES),
            section.integer("spare", defaultTolerated, -1, MAX_INSTANCES)));
  }

  private static SortedMap<String, List<String>> parseInstancesByZone(TomlSection section)
      throws TomlException {
    SortedMap<String, List<String>> instancesByZone = new TreeMap<>();
    for (TomlSection zone : section.tables("site")) {
      String name = zone.text("name", "");
      List<String> instanceIds = zone.texts("parts", List.of());
      if (name.isEmpty() || instancesByZone.containsKey(name)) {
        throw zone.invalid("name", "'" + name + "' is empty or given twice");
      }
      if (instanceIds.isEmpty()) {
        throw zone.invalid("parts", "empty, at least one is needed");
      }
      for (String instanceId : instanceIds) {
        boolean givenTwice =
            instancesByZone.values().stream()
                .anyMatch(otherInstances -> otherInstances.contains(instanceId));
        if (givenTwice || !instanceId.matches("[!-.0-~]{1,64}")) {
          throw zone.invalid("parts", "'" + instanceId + "' is odd or given twice");
        }
      }
      instancesByZone.put(name, instanceIds);
    }
    if (instancesByZone.isEmpty()) {
      throw section.invalid("site", "none is given, at least one site is needed");
    }
    return instancesByZone;
  }

  /** Reads a number of instances, given as a count or as a share that is rounded down. */
  private static int countOrShare(
      TomlSection section, String countKey, String shareKey, int instances) throws TomlException {
    if (section.has(countKey) && section.has(shareKey)) {
      throw section.invalid(shareKey, "given beside " + countKey + ", allowed is one of them");
    }
    return section.has(shareKey)
        ? (int) (instances * section.number(shareKey, 0, 0, 1))
        : section.integer(countKey, 1, 0, MAX_INSTANCES);
  }

  /** Reads the plan of a release; a plan without waves gets the default waves. */
  static RolloutPlan readPlan(String file, String reason, ReleaseFleet fleet)
      throws ConfigException {
    return OperatorFile.read(file, root -> parsePlan(root, reason, fleet));
  }

  private static RolloutPlan parsePlan(TomlSection root, String reason, ReleaseFleet fleet)
      throws TomlException {
    String kindWord = root.choice("kind", "router", List.of("router", "cache"));
    InstanceKind kind = InstanceKind.ofSerializedName(kindWord).orElseThrow();
    List<List<String>> waves = new ArrayList<>();
    for (TomlSection wave : root.tables("wave")) {
      waves.add(wave.texts("parts", List.of()));
    }
    return new RolloutPlan(
        0,
        kind,
        waves.isEmpty() ? DefaultWaves.of(fleet.group(kind)) : waves,
        root.durationNanos("soak", DEFAULT_SOAK_NANOS, 0),
        root.integer("samples", DEFAULT_MIN_RESPONSES, 0, MAX_MIN_RESPONSES),
        parseRegressionBounds(root),
        root.durationNanos("limit", DEFAULT_READY_TIMEOUT_NANOS, NANOS_PER_SECOND),
        root.durationNanos("alone", 0, 0),
        reason,
        parseConfigContent(root),
        "");
  }

  private static RegressionBounds parseRegressionBounds(TomlSection root) throws TomlException {
    RegressionBounds defaults = RegressionBounds.DEFAULT;
    return new RegressionBounds(
        root.number("worse", defaults.failedShare(), 0, 1),
        root.number("worse_late", defaults.lateShare(), 0, 1),
        root.number("worse_missed", defaults.missedShare(), 0, 1),
        root.number("worse_avoided", defaults.avoidedServersShare(), 0, 1),
        root.number("worse_memory", defaults.memoryRatio(), 0, MAX_GROWTH_RATIO),
        root.number("worse_hits", defaults.hitTimeRatio(), 0, MAX_GROWTH_RATIO));
  }

  /**
   * Reads the configuration that is released with the plan, or returns null if none is named. It
   * must not exclude cache servers, since a release leaves the set of excluded servers unchanged.
   */
  private static ConfigContent parseConfigContent(TomlSection root) throws TomlException {
    String file = root.text("settings", "");
    if (file.isEmpty()) {
      return null;
    }
    try {
      ConfigContent content = ContentFile.read(file);
      if (!content.excludedServers().isEmpty()) {
        throw root.invalid(
            "settings", file + " excludes cache servers, which a release must not do");
      }
      return content;
    } catch (ConfigException e) {
      throw root.invalid("settings", e.getMessage());
    }
  }
}
