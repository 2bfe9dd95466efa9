package beaconturn.rehearsal;

import beaconturn.standin.OriginModel;
import beaconturn.toml.TomlException;
import beaconturn.toml.TomlSection;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;

/**
 * Reads scenario files. Each key has a default; an invalid value is reported in one line with file,
 * line and key. Each group of tables has a reader of its own.
 */
public final class ScenarioReader {
  private static final long NANOS_PER_SECOND = 1_000_000_000;

  static final int MAX_ROUTERS = 40;

  /** The target of faults that affect the agent which drives the release at that time. */
  static final String DRIVER = "driver";

  private final TomlSection file;
  private final Long seedOverride;

  private ScenarioReader(TomlSection file, Long seedOverride) {
    this.file = file;
    this.seedOverride = seedOverride;
  }

  /**
   * Returns the scenario that a text describes.
   *
   * @param fileName the name of the file in error messages
   * @param seedOverride replaces the scenario's own seed; null to keep it
   * @throws TomlException if the text is not a valid scenario
   */
  public static Scenario read(String fileName, String text, Long seedOverride)
      throws TomlException {
    return new ScenarioReader(TomlSection.read(fileName, text), seedOverride).readScenario();
  }

  private Scenario readScenario() throws TomlException {
    String name = file.text("name", "rehearsal");
    String about = file.text("about", "");
    long ownSeed = file.integer("seed", 1, 0, Integer.MAX_VALUE);
    long seed = seedOverride == null ? ownSeed : seedOverride;
    long lengthNanos = file.durationNanos("length", 20 * NANOS_PER_SECOND, NANOS_PER_SECOND);
    Scenario.Fleet fleet = FleetSectionReader.readFleet(file.table("fleet"));
    OriginModel.Spec origin = FleetSectionReader.readOrigin(file.table("origin"));
    long listLagNanos = file.table("discovery").durationNanos("lag", NANOS_PER_SECOND, 0);
    Scenario.RoutingSettings routingSettings =
        FleetSectionReader.readRoutingSettings(file.table("settings"));
    TrafficSectionReader trafficReader = new TrafficSectionReader(file);
    List<Scenario.RequestClass> requestClasses = trafficReader.readClasses();
    List<Scenario.RouterSpec> routers =
        new RouterSectionReader(file).readRouters(fleet.distinctSites());
    ScenarioOutline outlineWithoutVersions = new ScenarioOutline(fleet, routers, 0, lengthNanos);
    List<Scenario.ClientStream> clientStreams =
        trafficReader.readClientStreams(requestClasses, outlineWithoutVersions);
    AgreementSectionReader agreementReader = new AgreementSectionReader(file);
    Scenario.Agreement agreement = agreementReader.readAgreement();
    List<TomlSection> versionSections = file.tables("version");
    ScenarioOutline outline =
        new ScenarioOutline(fleet, routers, versionSections.size(), lengthNanos);
    List<Scenario.VersionSpec> versions =
        AgreementSectionReader.readVersions(versionSections, agreement, outline);
    List<Scenario.FaultSpec> faults = new FaultSectionReader(outline, seed).readFaults(file);
    checkFaultsNeedingAgreement(faults, agreement);
    ReleaseSectionReader releaseReader = new ReleaseSectionReader(file, outline);
    Scenario.ReleaseSpec release = releaseReader.readRelease(agreement);
    List<Scenario.OperatorCommandSpec> operatorCommands =
        releaseReader.readOperatorCommands(release);
    Scenario.ZonesSpec zones = agreementReader.readZones(agreement, fleet);
    file.rejectUnknownKeys();
    return new Scenario(
        name,
        about,
        seed,
        lengthNanos,
        fleet,
        origin,
        listLagNanos,
        routingSettings,
        requestClasses,
        routers,
        clientStreams,
        faults,
        agreement,
        versions,
        release,
        operatorCommands,
        zones);
  }

  private void checkFaultsNeedingAgreement(
      List<Scenario.FaultSpec> faults, Scenario.Agreement agreement) throws TomlException {
    for (Scenario.FaultSpec fault : faults) {
      if (fault.kind().needsAgreement() && agreement == null) {
        throw file.invalid("fault", fault.kind().word() + " needs an [agreement] table");
      }
    }
  }

  /** Fails if a name is already used or contains characters that are not allowed. */
  static void checkName(TomlSection section, String name, List<String> usedNames)
      throws TomlException {
    if (!name.matches("[A-Za-z0-9_-]{1,32}") || usedNames.contains(name)) {
      throw section.invalid(
          "name", "'" + name + "' is taken or odd, allowed are letters, digits, - and _");
    }
  }

  /** Returns the names of the constants in scenario files. */
  static List<String> lowerCaseNames(Enum<?>[] constants) {
    return Arrays.stream(constants)
        .map(constant -> constant.name().toLowerCase(Locale.ROOT))
        .toList();
  }
}
