package beaconturn.cli;

import beaconturn.agreement.AgreementTiming;
import beaconturn.decision.ZoneWeights;
import beaconturn.net.ConfigException;
import beaconturn.net.FleetConfigSource;
import beaconturn.net.RouterConfig;
import beaconturn.net.ZoneWeightsSource;
import beaconturn.net.agreement.AgreementConfig;
import beaconturn.net.agreement.AgreementSubsystem;
import beaconturn.net.agreement.ZonesSubsystem;
import beaconturn.toml.TomlException;
import beaconturn.toml.TomlSection;
import beaconturn.zones.ZoneTopology;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The operators' own file, which says what is on beside the ordinary router: a section for each
 * part, and what has none is off. Nothing of it is loaded where no file is named.
 */
final class FeaturesFile {
  private static final long MILLI = 1_000_000;
  private static final long SECOND = 1000 * MILLI;
  private static final long APPLY = 500 * MILLI;
  private static final int MOST_PORT = 65_535;

  /** Up to so many thousandths count as a trial. */
  private static final int MOST_RESERVE = ZoneWeights.TRIAL;

  private FeaturesFile() {}

  /** The part of a router that the file turns on, or null. */
  static FleetConfigSource agreed(String file, RouterConfig router) throws ConfigException {
    AgreementConfig config = read(file);
    return config == null ? null : new AgreementSubsystem(config, router);
  }

  /** What a router follows of decisions on places, or null where the file does not turn that on. */
  static ZoneWeightsSource placing(String file, RouterConfig router) throws ConfigException {
    Features all = all(file);
    if (all.places() == null) {
      return null;
    }
    String home = router.settings().zones().get(router.settings().routing().zone());
    if (!all.places().regions().containsKey(home)) {
      throw new ConfigException(
          file + ": zones.place: there is none of the router's own zone, '" + home + "'");
    }
    return new ZonesSubsystem(all.agreement(), all.places(), router);
  }

  /** The {@code [agreement]} section, for orders that can do nothing without it. */
  static AgreementConfig required(String file) throws ConfigException {
    AgreementConfig config = read(file);
    if (config == null) {
      throw new ConfigException(file + ": there is no [agreement] section");
    }
    return config;
  }

  /** The {@code [zones]} section, for orders that can do nothing without it. */
  static ZoneTopology requiredPlaces(String file) throws ConfigException {
    ZoneTopology map = all(file).places();
    if (map == null) {
      throw new ConfigException(file + ": there is no [zones] section");
    }
    return map;
  }

  /** The {@code [agreement]} section, or null where there is none. */
  static AgreementConfig read(String file) throws ConfigException {
    return all(file).agreement();
  }

  /** All sections; null for those that are not there. */
  record Features(AgreementConfig agreement, ZoneTopology places) {}

  /** What the file turns on. */
  static Features all(String file) throws ConfigException {
    return OperatorFile.read(
        file,
        all -> {
          AgreementConfig agreement =
              all.has("agreement") ? agreement(all.table("agreement")) : null;
          TomlSection zones = all.has("zones") ? all.table("zones") : null;
          if (zones != null && agreement == null) {
            throw zones.invalid("", "needs the [agreement] section");
          }
          return new Features(agreement, zones == null ? null : places(zones));
        });
  }

  private static ZoneTopology places(TomlSection s) throws TomlException {
    SortedMap<String, String> regions = new TreeMap<>();
    for (TomlSection place : s.tables("place")) {
      String name = place.text("name", "");
      if (!name.matches("[!-.0-~]{1,64}") || regions.put(name, place.text("region", "")) != null) {
        throw place.invalid("name", "'" + name + "' is empty, odd or given twice");
      }
    }
    if (regions.size() < 2) {
      throw s.invalid("place", "at least two places are needed");
    }
    if (!s.has("each_per_s")) {
      throw s.invalid("each_per_s", "missing: requests a second that one cache server carries");
    }
    return new ZoneTopology(
        regions,
        s.number("each_per_s", 1, 0.001, 1e9),
        s.number("fetches_per_s", 1e9, 1, 1e9),
        s.integer("reserve", MOST_RESERVE, 0, MOST_RESERVE));
  }

  private static AgreementConfig agreement(TomlSection s) throws TomlException {
    List<InetSocketAddress> endpoints = new ArrayList<>();
    for (String text : s.texts("endpoints", List.of())) {
      if (!text.matches("[0-9.]+:[0-9]{1,5}")
          || Integer.parseInt(text.substring(text.indexOf(':') + 1)) > MOST_PORT) {
        throw s.invalid(
            "endpoints", "'" + text + "' is no address and port, such as 127.0.0.1:2379");
      }
      endpoints.add(
          new InetSocketAddress(
              text.substring(0, text.indexOf(':')),
              Integer.parseInt(text.substring(text.indexOf(':') + 1))));
    }
    if (endpoints.isEmpty()) {
      throw s.invalid("endpoints", "none is given, at least one member of the store is needed");
    }
    String fleet = s.text("fleet", "/beaconturn");
    if (!fleet.matches("(/[A-Za-z0-9._-]+)+")) {
      throw s.invalid("fleet", "'" + fleet + "' is no prefix such as /beaconturn/rain");
    }
    AgreementTiming timing =
        new AgreementTiming(
            s.durationNanos("lease", 6 * SECOND, SECOND), s.number("drift", 0.01, 0, 0.2), APPLY);
    String folder = s.text("folder", "");
    if (!folder.isEmpty() && !Files.isDirectory(Path.of(folder))) {
      throw s.invalid("folder", "'" + folder + "' is no folder");
    }
    return new AgreementConfig(
        List.copyOf(endpoints), fleet, timing, folder.isEmpty() ? null : Path.of(folder));
  }
}
