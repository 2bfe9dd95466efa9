package beaconturn.cli;

import beaconturn.agreement.ConfigContent;
import beaconturn.net.ConfigException;
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

/** Operators' files of releases: who belongs to the fleet, and what a release is to do. */
final class ReleaseFiles {
  private static final long SECOND = 1_000_000_000;
  private static final int MOST_PARTS = 10_000;

  private ReleaseFiles() {}

  /** The fleet and what may be out of it. */
  static ReleaseFleet fleet(String file) throws ConfigException {
    return OperatorsFile.read(
        file,
        all -> {
          Map<InstanceKind, ReleaseFleet.Group> groups = new EnumMap<>(InstanceKind.class);
          for (InstanceKind kind : InstanceKind.values()) {
            if (all.has(kind.word() + "s")) {
              groups.put(kind, group(all.table(kind.word() + "s")));
            }
          }
          if (groups.isEmpty()) {
            throw all.invalid("routers", "neither [routers] nor [caches] is given");
          }
          return new ReleaseFleet(groups);
        });
  }

  private static ReleaseFleet.Group group(TomlSection s) throws TomlException {
    SortedMap<String, List<String>> sites = new TreeMap<>();
    int parts = 0;
    for (TomlSection site : s.tables("site")) {
      String name = site.text("name", "");
      List<String> ids = site.texts("parts", List.of());
      if (name.isEmpty() || sites.containsKey(name)) {
        throw site.invalid("name", "'" + name + "' is empty or given twice");
      }
      if (ids.isEmpty()) {
        throw site.invalid("parts", "empty, at least one is needed");
      }
      for (String id : ids) {
        if (!id.matches("[!-.0-~]{1,64}")
            || sites.values().stream().anyMatch(l -> l.contains(id))) {
          throw site.invalid("parts", "'" + id + "' is odd or given twice");
        }
      }
      parts += ids.size();
      sites.put(name, ids);
    }
    if (sites.isEmpty()) {
      throw s.invalid("site", "none is given, at least one site is needed");
    }
    return new ReleaseFleet.Group(
        most(s, "most_out", "share_out", parts),
        most(s, "most_out_of_site", "share_out_of_site", parts),
        sites,
        new ReleaseFleet.Capacity(
            s.number("each_per_s", 0, 0, 1e9),
            s.number("cores", 0, 0, 4096),
            s.integer("spare", s.has("each_per_s") ? 1 : -1, -1, MOST_PARTS)));
  }

  /** A number, or the whole part of a share. */
  private static int most(TomlSection s, String number, String share, int parts)
      throws TomlException {
    if (s.has(number) && s.has(share)) {
      throw s.invalid(share, "given beside " + number + ", allowed is one of them");
    }
    return s.has(share)
        ? (int) (parts * s.number(share, 0, 0, 1))
        : s.integer(number, 1, 0, MOST_PARTS);
  }

  /**
   * Settings that go with it, in the form of a version's file; what is held out is no matter of
   * theirs.
   */
  private static ConfigContent settings(TomlSection all) throws TomlException {
    String file = all.text("settings", "");
    if (file.isEmpty()) {
      return null;
    }
    try {
      ConfigContent said = ContentFile.read(file);
      if (!said.excludedServers().isEmpty()) {
        throw all.invalid("settings", file + " holds cache servers out, which a release does not");
      }
      return said;
    } catch (ConfigException e) {
      throw all.invalid("settings", e.getMessage());
    }
  }

  private static RegressionBounds bounds(TomlSection all) throws TomlException {
    RegressionBounds usual = RegressionBounds.USUAL;
    return new RegressionBounds(
        all.number("worse", usual.bad(), 0, 1),
        all.number("worse_late", usual.late(), 0, 1),
        all.number("worse_missed", usual.missed(), 0, 1),
        all.number("worse_avoided", usual.avoided(), 0, 1),
        all.number("worse_memory", usual.memory(), 0, 1000),
        all.number("worse_hits", usual.slower(), 0, 1000));
  }

  /** The plan of a release; without waves the usual ones are made of the fleet. */
  static RolloutPlan plan(String file, String reason, ReleaseFleet fleet) throws ConfigException {
    return OperatorsFile.read(
        file,
        all -> {
          InstanceKind kind =
              InstanceKind.of(all.choice("kind", "router", List.of("router", "cache")));
          List<List<String>> waves = new ArrayList<>();
          for (TomlSection wave : all.tables("wave")) {
            waves.add(wave.texts("parts", List.of()));
          }
          return new RolloutPlan(
              0,
              kind,
              waves.isEmpty() ? RolloutPlan.usual(fleet.group(kind)) : waves,
              all.durationNanos("soak", 60 * SECOND, 0),
              all.integer("samples", 200, 0, 1_000_000),
              bounds(all),
              all.durationNanos("limit", 60 * SECOND, SECOND),
              all.durationNanos("alone", 0, 0),
              reason,
              settings(all),
              "");
        });
  }
}
