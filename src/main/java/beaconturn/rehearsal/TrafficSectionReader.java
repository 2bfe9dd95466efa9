package beaconturn.rehearsal;

import beaconturn.toml.TomlException;
import beaconturn.toml.TomlSection;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** The reader of a scenario's request classes and of the clients that send them. */
final class TrafficSectionReader {
  private static final long MILLI_NANOS = 1_000_000;
  private static final long SECOND_NANOS = 1000 * MILLI_NANOS;
  private static final int MOST_PIPELINED = 64;
  private static final int MOST_SILENT = 10_000;
  private static final double MOST_PER_SECOND = 20_000;
  private final TomlSection file;

  TrafficSectionReader(TomlSection file) {
    this.file = file;
  }

  /** Reads the tables {@code [[class]]}; three usual classes where there is none. */
  List<Scenario.Type> readClasses() throws TomlException {
    List<Scenario.Type> types = new ArrayList<>();
    for (TomlSection section : file.tables("class")) {
      String name = section.text("name", "class" + types.size());
      ScenarioReader.checkName(section, name, types.stream().map(Scenario.Type::name).toList());
      types.add(readClass(section, name));
    }
    return types.isEmpty() ? usualClasses() : List.copyOf(types);
  }

  private static List<Scenario.Type> usualClasses() {
    return List.of(
        new Scenario.Type(
            "level",
            Scenario.Effect.SAFE,
            0.85,
            8 * MILLI_NANOS,
            400,
            400 * MILLI_NANOS,
            1500 * MILLI_NANOS,
            1,
            0,
            "all"),
        new Scenario.Type(
            "correction",
            Scenario.Effect.KEYED,
            0.1,
            12 * MILLI_NANOS,
            200,
            700 * MILLI_NANOS,
            2 * SECOND_NANOS,
            3,
            4 * SECOND_NANOS,
            "all"),
        new Scenario.Type(
            "alert-ack",
            Scenario.Effect.UNSAFE,
            0.05,
            12 * MILLI_NANOS,
            100,
            700 * MILLI_NANOS,
            2 * SECOND_NANOS,
            5,
            0,
            "all"));
  }

  private static Scenario.Type readClass(TomlSection section, String name) throws TomlException {
    String effect =
        section.choice("effect", "safe", ScenarioReader.words(Scenario.Effect.values()));
    long aim = section.durationNanos("aim", 400 * MILLI_NANOS, MILLI_NANOS);
    long deadline = section.durationNanos("deadline", 1500 * MILLI_NANOS, MILLI_NANOS);
    if (deadline < aim) {
      throw section.invalid(
          "deadline", "before the aim, allowed is " + aim / MILLI_NANOS + "ms or later");
    }
    return new Scenario.Type(
        name,
        Scenario.Effect.valueOf(effect.toUpperCase(Locale.ROOT)),
        section.number("share", 1, 0, 1000),
        section.durationNanos("work", 8 * MILLI_NANOS, 0),
        section.integer("size", 400, 0, 65_000),
        aim,
        deadline,
        section.number("worth", 1, 0, 1000),
        section.durationNanos("window", 4 * SECOND_NANOS, 0),
        section.choice("scope", "all", List.of("all", "zone", "cell")));
  }

  /** Reads the tables {@code [[clients]]}; one stream of all classes where there is none. */
  List<Scenario.Clients> readClients(List<Scenario.Type> types, ScenarioOutline outline)
      throws TomlException {
    List<Scenario.Clients> all = new ArrayList<>();
    for (TomlSection section : file.tables("clients")) {
      all.add(readStream(section, types, outline));
    }
    return all.isEmpty() ? List.of(usualStream(outline.lengthNanos())) : List.copyOf(all);
  }

  private static Scenario.Clients readStream(
      TomlSection section, List<Scenario.Type> types, ScenarioOutline outline)
      throws TomlException {
    List<String> classes = readClassNames(section, types);
    long fromNanos = section.durationNanos("from", 0, 0);
    long toNanos = outline.readEnd(section, fromNanos);
    return new Scenario.Clients(
        section.number("rate", 100, 0.1, MOST_PER_SECOND),
        classes,
        section.integer("keys", 400, 1, 10_000_000),
        section.number("skew", 0.9, 0, 3),
        section.integer("retries", 2, 0, 10),
        section.durationNanos("backoff", 100 * MILLI_NANOS, 0),
        section.number("try_share", 0.6, 0.05, 1),
        section.durationNanos("notice", 1500 * MILLI_NANOS, 0),
        fromNanos,
        toNanos,
        readSite(section, outline.routers()),
        readConduct(section));
  }

  private static Scenario.Clients usualStream(long lengthNanos) {
    return new Scenario.Clients(
        100,
        List.of(),
        400,
        0.9,
        2,
        100 * MILLI_NANOS,
        0.6,
        1500 * MILLI_NANOS,
        0,
        lengthNanos,
        "",
        Scenario.Conduct.USUAL);
  }

  private static List<String> readClassNames(TomlSection section, List<Scenario.Type> types)
      throws TomlException {
    List<String> known = types.stream().map(Scenario.Type::name).toList();
    List<String> classes = section.texts("classes", List.of());
    for (String name : classes) {
      if (!known.contains(name)) {
        throw section.invalid(
            "classes", "no class '" + name + "', there are " + String.join(", ", known));
      }
    }
    return classes;
  }

  private static Scenario.Conduct readConduct(TomlSection section) throws TomlException {
    return new Scenario.Conduct(
        section.integer("pipeline", 1, 1, MOST_PIPELINED),
        section.number("wrong", 0, 0, 1),
        section.number("pieces", 0, 0, 1),
        section.number("hasty", 0, 0, 1),
        section.number("leaves", 0, 0, 1),
        section.integer("silent", 0, 0, MOST_SILENT));
  }

  /** Returns the name of a site that has routers, or an empty one. */
  private static String readSite(TomlSection section, List<Scenario.RouterSpec> routers)
      throws TomlException {
    String site = section.text("site", "");
    List<String> sites = routers.stream().map(Scenario.RouterSpec::site).distinct().toList();
    if (!site.isEmpty() && !sites.contains(site)) {
      throw section.invalid(
          "site", "no router stands in '" + site + "', they stand in " + String.join(", ", sites));
    }
    return site;
  }
}
