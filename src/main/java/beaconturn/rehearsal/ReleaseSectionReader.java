package beaconturn.rehearsal;

import beaconturn.toml.TomlException;
import beaconturn.toml.TomlSection;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** The reader of a scenario's release and of the operators' orders. */
final class ReleaseSectionReader {
  private static final long MILLI_NANOS = 1_000_000;
  private static final long SECOND_NANOS = 1000 * MILLI_NANOS;
  private static final List<String> ORDERS =
      List.of(
          "halt",
          "resume",
          "back",
          "abandon",
          "drain",
          "undrain",
          "lost",
          "budget",
          "zone-drain",
          "zone-free");

  /** Orders that are about one instance or zone. */
  private static final List<String> ORDERS_WITH_PART =
      List.of("drain", "undrain", "lost", "zone-drain", "zone-free");

  private final TomlSection file;
  private final ScenarioOutline outline;

  ReleaseSectionReader(TomlSection file, ScenarioOutline outline) {
    this.file = file;
    this.outline = outline;
  }

  /** Reads the table {@code [release]}; null where there is none. */
  Scenario.ReleaseSpec readRelease(Scenario.Agreement agreement) throws TomlException {
    if (!file.has("release")) {
      return null;
    }
    TomlSection section = file.table("release");
    if (agreement == null) {
      throw section.invalid("", "needs an [agreement] table");
    }
    boolean caches = section.choice("kind", "router", List.of("router", "cache")).equals("cache");
    List<List<String>> waves = readWaves(section, caches);
    Trigger after = outline.readTrigger(section, "after");
    Scenario.Harm harm = readHarm(section, caches);
    return new Scenario.ReleaseSpec(
        caches,
        section.bool("begins", true),
        section.durationNanos("at", after == null ? 2 * SECOND_NANOS : 0, 0),
        after,
        section.integer("most_out", 1, 1, ScenarioReader.MOST_ROUTERS),
        section.integer("most_out_of_site", 1, 1, ScenarioReader.MOST_ROUTERS),
        waves,
        section.durationNanos("soak", SECOND_NANOS, 0),
        section.integer("samples", 20, 0, 1_000_000),
        section.number("worse", 0.05, 0, 1),
        section.durationNanos("limit", 10 * SECOND_NANOS, SECOND_NANOS),
        section.durationNanos("alone", 0, 0),
        harm,
        section.durationNanos("good_for", harm.goodFor(), 0),
        section.integer("most_tries", 0, 0, 64),
        section.integer("spare", -1, -1, ScenarioReader.MOST_ROUTERS),
        section.number("cores", 0, 0, 1000),
        section.number("worse_missed", 0.4, 0, 1));
  }

  private List<List<String>> readWaves(TomlSection section, boolean caches) throws TomlException {
    List<String> names = caches ? outline.fleet().names() : outline.routerNames();
    List<List<String>> waves = new ArrayList<>();
    for (TomlSection wave : section.tables("wave")) {
      List<String> parts = wave.texts("parts", List.of());
      if (parts.isEmpty() || !names.containsAll(parts)) {
        throw wave.invalid(
            "parts", parts + " are not to be released, there are " + String.join(", ", names));
      }
      waves.add(parts);
    }
    return waves;
  }

  private static Scenario.Harm readHarm(TomlSection section, boolean caches) throws TomlException {
    String word = section.choice("harm", "none", ScenarioReader.words(Scenario.Harm.values()));
    Scenario.Harm harm = Scenario.Harm.valueOf(word.toUpperCase(Locale.ROOT));
    if (caches && (harm == Scenario.Harm.FADES || harm == Scenario.Harm.LEAKS)) {
      throw section.invalid("harm", "'" + word + "' is of routers only");
    }
    return harm;
  }

  /** Reads the tables {@code [[order]]}. */
  List<Scenario.OrderSpec> readOrders(Scenario.ReleaseSpec release) throws TomlException {
    List<Scenario.OrderSpec> all = new ArrayList<>();
    for (TomlSection section : file.tables("order")) {
      all.add(readOrder(section, release));
    }
    return List.copyOf(all);
  }

  private Scenario.OrderSpec readOrder(TomlSection section, Scenario.ReleaseSpec release)
      throws TomlException {
    Trigger after = outline.readTrigger(section, "after");
    String what = section.choice("what", "halt", ORDERS);
    boolean ofZone = what.startsWith("zone-");
    boolean hasTable = ofZone ? file.has("zones") : release != null;
    if (!hasTable) {
      throw section.invalid("", "needs a " + (ofZone ? "[zones]" : "[release]") + " table");
    }
    List<String> parts = partsOf(what, release);
    String part =
        ORDERS_WITH_PART.contains(what) ? section.choice("part", parts.get(0), parts) : "";
    return new Scenario.OrderSpec(
        section.durationNanos("at", after == null ? 5 * SECOND_NANOS : 0, 0),
        after,
        what,
        part,
        what.equals("budget") ? section.integer("most_out", 1, 0, ScenarioReader.MOST_ROUTERS) : 0);
  }

  private List<String> partsOf(String order, Scenario.ReleaseSpec release) {
    if (order.startsWith("zone-")) {
      return outline.fleet().places();
    }
    boolean ofRouters = order.equals("lost") && !release.caches();
    return ofRouters ? outline.routerNames() : outline.fleet().names();
  }
}
