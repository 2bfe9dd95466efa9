package beaconturn.rehearsal;

import beaconturn.standin.OriginModel;
import beaconturn.toml.TomlException;
import beaconturn.toml.TomlSection;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;

/**
 * The reader of scenario files. Everything has a default, and whatever is wrong is said in one line
 * before anything is started. Each group of tables has a reader of its own.
 */
public final class ScenarioReader {
  private static final long SECOND_NANOS = 1_000_000_000;

  /** The most routers of a scenario. */
  static final int MOST_ROUTERS = 40;

  /** The target that stands for the agent which drives the release at the time. */
  static final String DRIVER = "driver";

  private final TomlSection file;
  private final Long seed;

  private ScenarioReader(TomlSection file, Long seed) {
    this.file = file;
    this.seed = seed;
  }

  /**
   * Returns the scenario of a text.
   *
   * @param name the file's name in messages
   * @param seed overrules the scenario's own seed; null for that one
   * @throws TomlException if the text is not a scenario
   */
  public static Scenario read(String name, String text, Long seed) throws TomlException {
    return new ScenarioReader(TomlSection.read(name, text), seed).readScenario();
  }

  private Scenario readScenario() throws TomlException {
    String name = file.text("name", "rehearsal");
    String about = file.text("about", "");
    long ownSeed = file.integer("seed", 1, 0, Integer.MAX_VALUE);
    long chosenSeed = seed == null ? ownSeed : seed;
    long lengthNanos = file.durationNanos("length", 20 * SECOND_NANOS, SECOND_NANOS);
    Scenario.Fleet fleet = FleetSectionReader.readFleet(file.table("fleet"));
    OriginModel.Shape origin = FleetSectionReader.readOrigin(file.table("origin"));
    long listLagNanos = file.table("discovery").durationNanos("lag", SECOND_NANOS, 0);
    Scenario.Rules rules = FleetSectionReader.readRules(file.table("settings"));
    TrafficSectionReader traffic = new TrafficSectionReader(file);
    List<Scenario.Type> types = traffic.readClasses();
    List<Scenario.RouterSpec> routers = new RouterSectionReader(file).readRouters(fleet.places());
    ScenarioOutline withoutVersions = new ScenarioOutline(fleet, routers, 0, lengthNanos);
    List<Scenario.Clients> clients = traffic.readClients(types, withoutVersions);
    AgreementSectionReader agreements = new AgreementSectionReader(file);
    Scenario.Agreement agreement = agreements.readAgreement();
    List<TomlSection> proposed = file.tables("version");
    ScenarioOutline outline = new ScenarioOutline(fleet, routers, proposed.size(), lengthNanos);
    List<Scenario.VersionSpec> versions =
        AgreementSectionReader.readVersions(proposed, agreement, outline);
    List<Scenario.FaultSpec> faults = new FaultSectionReader(outline, chosenSeed).readFaults(file);
    checkFaultsNeedingAgreement(faults, agreement);
    ReleaseSectionReader releases = new ReleaseSectionReader(file, outline);
    Scenario.ReleaseSpec release = releases.readRelease(agreement);
    List<Scenario.OrderSpec> orders = releases.readOrders(release);
    Scenario.ZonesSpec zones = agreements.readZones(agreement, fleet);
    file.rejectUnknownKeys();
    return new Scenario(
        name,
        about,
        chosenSeed,
        lengthNanos,
        fleet,
        origin,
        listLagNanos,
        rules,
        types,
        routers,
        clients,
        faults,
        agreement,
        versions,
        release,
        orders,
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

  /** Rejects names that are taken or have characters that are not allowed. */
  static void checkName(TomlSection section, String name, List<String> taken) throws TomlException {
    if (!name.matches("[A-Za-z0-9_-]{1,32}") || taken.contains(name)) {
      throw section.invalid(
          "name", "'" + name + "' is taken or odd, allowed are letters, digits, - and _");
    }
  }

  /** Returns the words by which files name the constants. */
  static List<String> words(Enum<?>[] values) {
    return Arrays.stream(values).map(v -> v.name().toLowerCase(Locale.ROOT)).toList();
  }
}
