package beaconturn.cli;

import beaconturn.agreement.AgreementException;
import beaconturn.net.ConfigException;
import beaconturn.net.agreement.AgreementConfig;
import beaconturn.net.agreement.StoreClient;
import beaconturn.release.DisruptionPermitAdmin;
import beaconturn.release.RolloutKeys;
import beaconturn.zones.RegionDistanceCheck;
import beaconturn.zones.ZoneOverride;
import beaconturn.zones.ZoneOverrideKind;
import beaconturn.zones.ZoneTopology;
import beaconturn.zones.ZonesAdmin;
import beaconturn.zones.ZonesKeys;
import beaconturn.zones.ZonesSnapshot;

/**
 * Executes one operation of the {@code zones} command.
 *
 * @param featuresFile the operators' file with the {@code [zones]} section
 * @param reason reason of an override
 * @param author author of an override
 * @param durationSeconds how long an override is valid; 0 means without limit
 * @param nearWeight for {@code weight}: thousandths of a zone's keys that may stay in the zone
 */
record ZonesRunner(
    String featuresFile, String reason, String author, int durationSeconds, int nearWeight) {
  private static final int EXIT_ERROR = 1;
  private static final int EXIT_USAGE = 2;
  private static final int EXIT_NOT_NOW = 3;
  private static final long NANOS_PER_SECOND = 1_000_000_000;
  private static final long REQUEST_TIMEOUT_NANOS = 5 * NANOS_PER_SECOND;

  /** Executes the operation and returns the exit status. */
  int run(String operation, String zone) {
    try {
      AgreementConfig config = FeaturesFile.requiredAgreement(featuresFile);
      ZoneTopology topology = FeaturesFile.requiredZones(featuresFile);
      StoreClient store = new StoreClient(config.endpoints(), REQUEST_TIMEOUT_NANOS);
      try {
        ZonesAdmin admin = new ZonesAdmin(new ZonesKeys(config.fleet()), topology, store);
        RolloutKeys rolloutKeys = new RolloutKeys(config.fleet());
        DisruptionPermitAdmin permits =
            new DisruptionPermitAdmin(rolloutKeys, store, author, AgentRunner::now);
        return execute(operation, zone, topology, admin, permits);
      } finally {
        store.close();
      }
    } catch (ConfigException e) {
      System.err.println("zones: " + e.getMessage());
      return EXIT_ERROR;
    } catch (AgreementException e) {
      System.err.println("zones " + operation + ": " + e.getMessage());
      return e.getMessage().startsWith("the store does not answer") ? EXIT_ERROR : EXIT_NOT_NOW;
    }
  }

  private int execute(
      String operation,
      String zone,
      ZoneTopology topology,
      ZonesAdmin admin,
      DisruptionPermitAdmin permits)
      throws AgreementException {
    switch (operation) {
      case "show" -> {
        ZonesSnapshot snapshot = admin.readSnapshot();
        ZonesPrinter.printSnapshot(snapshot);
        RegionDistanceCheck.warnings(topology, snapshot.reports()).forEach(System.out::println);
      }
      case "history" -> admin.history().forEach(ZonesPrinter::printPlan);
      case "drain" -> {
        ZoneOverride drain = override(zone, ZoneOverrideKind.DRAIN);
        System.out.println(admin.setOverride(drain, permits.zoneEvacuation(zone, reason)));
      }
      case "hold" -> System.out.println(admin.setOverride(override(zone, ZoneOverrideKind.HOLD)));
      case "weight" ->
          System.out.println(admin.setOverride(override(zone, ZoneOverrideKind.WEIGHT)));
      case "free" -> System.out.println(admin.clearOverride(zone));
      default -> {
        System.err.println("zones: unknown order '" + operation + "', see 'zones --help'");
        return EXIT_USAGE;
      }
    }
    return 0;
  }

  private ZoneOverride override(String zone, ZoneOverrideKind kind) {
    return new ZoneOverride(
        zone, kind, nearWeight, durationSeconds * NANOS_PER_SECOND, author, reason);
  }
}
