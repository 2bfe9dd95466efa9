package beaconturn.rehearsal;

import beaconturn.toml.TomlException;
import beaconturn.toml.TomlSection;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Reads the request classes and the client streams of a scenario. */
final class TrafficSectionReader {
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long NANOS_PER_SECOND = 1000 * NANOS_PER_MILLI;
  private static final int MAX_PIPELINED = 64;
  private static final int MAX_SILENT_CONNECTIONS = 10_000;
  private static final double MAX_REQUESTS_PER_SECOND = 20_000;
  private final TomlSection file;

  TrafficSectionReader(TomlSection file) {
    this.file = file;
  }

  /** Reads the tables {@code [[class]]}; returns three default classes if none is given. */
  List<Scenario.RequestClass> readClasses() throws TomlException {
    List<Scenario.RequestClass> requestClasses = new ArrayList<>();
    for (TomlSection section : file.tables("class")) {
      String name = section.text("name", "class" + requestClasses.size());
      ScenarioReader.checkName(
          section, name, requestClasses.stream().map(Scenario.RequestClass::name).toList());
      requestClasses.add(readClass(section, name));
    }
    return requestClasses.isEmpty() ? defaultClasses() : List.copyOf(requestClasses);
  }

  private static List<Scenario.RequestClass> defaultClasses() {
    return List.of(
        new Scenario.RequestClass(
            "level",
            Scenario.Effect.SAFE,
            0.85,
            8 * NANOS_PER_MILLI,
            400,
            400 * NANOS_PER_MILLI,
            1500 * NANOS_PER_MILLI,
            1,
            0,
            "all"),
        new Scenario.RequestClass(
            "correction",
            Scenario.Effect.KEYED,
            0.1,
            12 * NANOS_PER_MILLI,
            200,
            700 * NANOS_PER_MILLI,
            2 * NANOS_PER_SECOND,
            3,
            4 * NANOS_PER_SECOND,
            "all"),
        new Scenario.RequestClass(
            "alert-ack",
            Scenario.Effect.UNSAFE,
            0.05,
            12 * NANOS_PER_MILLI,
            100,
            700 * NANOS_PER_MILLI,
            2 * NANOS_PER_SECOND,
            5,
            0,
            "all"));
  }

  private static Scenario.RequestClass readClass(TomlSection section, String name)
      throws TomlException {
    String effect =
        section.choice("effect", "safe", ScenarioReader.lowerCaseNames(Scenario.Effect.values()));
    long latencyObjectiveNanos =
        section.durationNanos("aim", 400 * NANOS_PER_MILLI, NANOS_PER_MILLI);
    long deadlineNanos = section.durationNanos("deadline", 1500 * NANOS_PER_MILLI, NANOS_PER_MILLI);
    if (deadlineNanos < latencyObjectiveNanos) {
      throw section.invalid(
          "deadline",
          "before the aim, allowed is " + latencyObjectiveNanos / NANOS_PER_MILLI + "ms or later");
    }
    return new Scenario.RequestClass(
        name,
        Scenario.Effect.valueOf(effect.toUpperCase(Locale.ROOT)),
        section.number("share", 1, 0, 1000),
        section.durationNanos("work", 8 * NANOS_PER_MILLI, 0),
        section.integer("size", 400, 0, 65_000),
        latencyObjectiveNanos,
        deadlineNanos,
        section.number("worth", 1, 0, 1000),
        section.durationNanos("window", 4 * NANOS_PER_SECOND, 0),
        section.choice("scope", "all", List.of("all", "zone", "cell")));
  }

  /** Reads the tables {@code [[clients]]}; returns one stream of all classes if none is given. */
  List<Scenario.ClientStream> readClientStreams(
      List<Scenario.RequestClass> requestClasses, ScenarioOutline outline) throws TomlException {
    List<Scenario.ClientStream> streams = new ArrayList<>();
    for (TomlSection section : file.tables("clients")) {
      streams.add(readStream(section, requestClasses, outline));
    }
    return streams.isEmpty() ? List.of(defaultStream(outline.lengthNanos())) : List.copyOf(streams);
  }

  private static Scenario.ClientStream readStream(
      TomlSection section, List<Scenario.RequestClass> requestClasses, ScenarioOutline outline)
      throws TomlException {
    List<String> classNames = readClassNames(section, requestClasses);
    long fromNanos = section.durationNanos("from", 0, 0);
    long toNanos = outline.readEnd(section, fromNanos);
    return new Scenario.ClientStream(
        section.number("rate", 100, 0.1, MAX_REQUESTS_PER_SECOND),
        classNames,
        section.integer("keys", 400, 1, 10_000_000),
        section.number("skew", 0.9, 0, 3),
        section.integer("retries", 2, 0, 10),
        section.durationNanos("backoff", 100 * NANOS_PER_MILLI, 0),
        section.number("try_share", 0.6, 0.05, 1),
        section.durationNanos("notice", 1500 * NANOS_PER_MILLI, 0),
        fromNanos,
        toNanos,
        readSite(section, outline.routers()),
        readConnectionUsage(section));
  }

  private static Scenario.ClientStream defaultStream(long lengthNanos) {
    return new Scenario.ClientStream(
        100,
        List.of(),
        400,
        0.9,
        2,
        100 * NANOS_PER_MILLI,
        0.6,
        1500 * NANOS_PER_MILLI,
        0,
        lengthNanos,
        "",
        Scenario.ConnectionUsage.DEFAULT);
  }

  private static List<String> readClassNames(
      TomlSection section, List<Scenario.RequestClass> requestClasses) throws TomlException {
    List<String> knownNames = requestClasses.stream().map(Scenario.RequestClass::name).toList();
    List<String> classNames = section.texts("classes", List.of());
    for (String name : classNames) {
      if (!knownNames.contains(name)) {
        throw section.invalid(
            "classes", "no class '" + name + "', there are " + String.join(", ", knownNames));
      }
    }
    return classNames;
  }

  private static Scenario.ConnectionUsage readConnectionUsage(TomlSection section)
      throws TomlException {
    return new Scenario.ConnectionUsage(
        section.integer("pipeline", 1, 1, MAX_PIPELINED),
        section.number("wrong", 0, 0, 1),
        section.number("pieces", 0, 0, 1),
        section.number("hasty", 0, 0, 1),
        section.number("leaves", 0, 0, 1),
        section.integer("silent", 0, 0, MAX_SILENT_CONNECTIONS));
  }

  /** Returns the name of a site that has routers, or an empty name if none is given. */
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
