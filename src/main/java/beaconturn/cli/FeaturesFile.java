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
 * Reads the operators' file of optional features: a feature is enabled if the file has its section.
 * Without such a file no class of these features is loaded.
 */
final class FeaturesFile {
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long NANOS_PER_SECOND = 1000 * NANOS_PER_MILLI;

  /** How long a router may take to apply a configuration version. */
  private static final long APPLY_NANOS = 500 * NANOS_PER_MILLI;

  private static final int MAX_PORT = 65_535;

  /** Maximum reserve weight in thousandths: more than this does not count as a trial. */
  private static final int MAX_RESERVE = ZoneWeights.MAX_TRIAL_WEIGHT;

  private FeaturesFile() {}

  /** The source of agreed configuration versions, or null if the file does not enable it. */
  static FleetConfigSource configSource(String file, RouterConfig router) throws ConfigException {
    AgreementConfig config = readAgreement(file);
    return config == null ? null : new AgreementSubsystem(config, router);
  }

  /** The source of zone weights, or null if the file does not enable it. */
  static ZoneWeightsSource zoneWeightsSource(String file, RouterConfig router)
      throws ConfigException {
    Features features = readAll(file);
    if (features.zones() == null) {
      return null;
    }
    String homeZone = router.settings().zones().get(router.settings().routing().zone());
    if (!features.zones().regions().containsKey(homeZone)) {
      throw new ConfigException(
          file + ": zones.place: no entry for the router's own zone '" + homeZone + "'");
    }
    return new ZonesSubsystem(features.agreement(), features.zones(), router);
  }

  /**
   * Reads the {@code [agreement]} section.
   *
   * @throws ConfigException if the file is invalid or has no such section
   */
  static AgreementConfig requiredAgreement(String file) throws ConfigException {
    AgreementConfig config = readAgreement(file);
    if (config == null) {
      throw new ConfigException(file + ": section [agreement] is missing");
    }
    return config;
  }

  /**
   * Reads the {@code [zones]} section.
   *
   * @throws ConfigException if the file is invalid or has no such section
   */
  static ZoneTopology requiredZones(String file) throws ConfigException {
    ZoneTopology topology = readAll(file).zones();
    if (topology == null) {
      throw new ConfigException(file + ": section [zones] is missing");
    }
    return topology;
  }

  /** The {@code [agreement]} section, or null if the file has none. */
  static AgreementConfig readAgreement(String file) throws ConfigException {
    return readAll(file).agreement();
  }

  /** The sections of the file; null for each that is absent. */
  record Features(AgreementConfig agreement, ZoneTopology zones) {}

  /** Reads all sections. */
  static Features readAll(String file) throws ConfigException {
    return OperatorFile.read(
        file,
        root -> {
          AgreementConfig agreement =
              root.has("agreement") ? parseAgreement(root.table("agreement")) : null;
          TomlSection zones = root.has("zones") ? root.table("zones") : null;
          if (zones != null && agreement == null) {
            throw zones.invalid("", "requires the [agreement] section");
          }
          return new Features(agreement, zones == null ? null : parseZones(zones));
        });
  }

  private static ZoneTopology parseZones(TomlSection section) throws TomlException {
    SortedMap<String, String> regions = new TreeMap<>();
    for (TomlSection zone : section.tables("place")) {
      String name = zone.text("name", "");
      if (!name.matches("[!-.0-~]{1,64}") || regions.put(name, zone.text("region", "")) != null) {
        throw zone.invalid(
            "name", "'" + name + "' is empty, too long, given twice or has invalid characters");
      }
    }
    if (regions.size() < 2) {
      throw section.invalid("place", "at least two zones are needed");
    }
    if (!section.has("each_per_s")) {
      throw section.invalid(
          "each_per_s", "missing: capacity of one cache server in requests per second");
    }
    return new ZoneTopology(
        regions,
        section.number("each_per_s", 1, 0.001, 1e9),
        section.number("fetches_per_s", 1e9, 1, 1e9),
        section.integer("reserve", MAX_RESERVE, 0, MAX_RESERVE));
  }

  private static AgreementConfig parseAgreement(TomlSection section) throws TomlException {
    List<InetSocketAddress> endpoints = new ArrayList<>();
    for (String endpoint : section.texts("endpoints", List.of())) {
      if (!endpoint.matches("[0-9.]+:[0-9]{1,5}")
          || Integer.parseInt(endpoint.substring(endpoint.indexOf(':') + 1)) > MAX_PORT) {
        throw section.invalid(
            "endpoints", "'" + endpoint + "' is not an address and port such as 127.0.0.1:2379");
      }
      endpoints.add(
          new InetSocketAddress(
              endpoint.substring(0, endpoint.indexOf(':')),
              Integer.parseInt(endpoint.substring(endpoint.indexOf(':') + 1))));
    }
    if (endpoints.isEmpty()) {
      throw section.invalid("endpoints", "none given, at least one member of the store is needed");
    }
    String fleet = section.text("fleet", "/beaconturn");
    if (!fleet.matches("(/[A-Za-z0-9._-]+)+")) {
      throw section.invalid(
          "fleet", "'" + fleet + "' is not a key prefix such as /beaconturn/rain");
    }
    AgreementTiming timing =
        new AgreementTiming(
            section.durationNanos("lease", 6 * NANOS_PER_SECOND, NANOS_PER_SECOND),
            section.number("drift", 0.01, 0, 0.2),
            APPLY_NANOS);
    String folder = section.text("folder", "");
    if (!folder.isEmpty() && !Files.isDirectory(Path.of(folder))) {
      throw section.invalid("folder", "'" + folder + "' is not a directory");
    }
    return new AgreementConfig(
        List.copyOf(endpoints), fleet, timing, folder.isEmpty() ? null : Path.of(folder));
  }
}
