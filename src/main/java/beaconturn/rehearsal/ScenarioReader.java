package beaconturn.rehearsal;

import beaconturn.standin.CacheServerSpec;
import beaconturn.standin.Fault;
import beaconturn.standin.OriginModel;
import beaconturn.standin.RandomSources;
import beaconturn.toml.TomlException;
import beaconturn.toml.TomlSection;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import org.apache.commons.rng.sampling.ListSampler;

/**
 * Reads a scenario; everything has a default, and whatever is wrong is said in one line before any
 * start.
 */
public final class ScenarioReader {
  private static final long MILLI = 1_000_000;
  private static final long SECOND = 1000 * MILLI;
  private static final int MOST_CACHES = 200;
  private static final int MOST_PIPELINED = 64;
  private static final int MOST_SILENT = 10_000;
  private static final int MOST_ROUTERS = 40;

  /** Stands for the agent that drives the release at the time. */
  static final String DRIVER = "driver";

  /** Orders that are about one part. */
  private static final List<String> OF_PART =
      List.of("drain", "undrain", "lost", "zone-drain", "zone-free");

  private static final double MOST_RATE = 20_000;
  private static final List<String> REPORTS = List.of("inflight", "latency_ms", "qps");
  private final TomlSection file;
  private final Long seed;

  private ScenarioReader(TomlSection file, Long seed) {
    this.file = file;
    this.seed = seed;
  }

  /**
   * The scenario of a text; {@code name} is the file's in messages, {@code seed} overrules its own.
   */
  public static Scenario read(String name, String text, Long seed) throws TomlException {
    return new ScenarioReader(TomlSection.read(name, text), seed).scenario();
  }

  private Scenario scenario() throws TomlException {
    String name = file.text("name", "rehearsal");
    String about = file.text("about", "");
    long ownSeed = file.integer("seed", 1, 0, Integer.MAX_VALUE);
    long length = file.durationNanos("length", 20 * SECOND, SECOND);
    Scenario.Fleet fleet = fleet();
    OriginModel.Shape origin = origin();
    TomlSection discovery = file.table("discovery");
    long lag = discovery.durationNanos("lag", SECOND, 0);
    Scenario.Rules rules = rules();
    List<Scenario.Type> types = types();
    List<Scenario.RouterSpec> routers = routers(fleet.places());
    List<Scenario.Clients> clients = clients(types, routers, length);
    long chosen = seed == null ? ownSeed : seed;
    Scenario.Agreement agreement = agreement();
    List<TomlSection> proposed = file.tables("version");
    List<Scenario.VersionSpec> versions = versions(proposed, agreement, fleet, routers, length);
    List<Scenario.FaultSpec> faults = faults(fleet, routers, versions.size(), length, chosen);
    for (Scenario.FaultSpec fault : faults) {
      if (fault.kind().needsAgreement() && agreement == null) {
        throw file.invalid("fault", fault.kind().word() + " needs an [agreement] table");
      }
    }
    Scenario.ReleaseSpec release = release(agreement, fleet, routers, proposed.size());
    List<Scenario.OrderSpec> orders = orders(release, fleet, routers, proposed.size());
    Scenario.ZonesSpec zones = zones(agreement, fleet);
    file.rejectUnknownKeys();
    return new Scenario(
        name, about, chosen, length, fleet, origin, lag, rules, types, routers, clients, faults,
        agreement, versions, release, orders, zones);
  }

  private Scenario.ReleaseSpec release(
      Scenario.Agreement agreement,
      Scenario.Fleet fleet,
      List<Scenario.RouterSpec> routers,
      int versions)
      throws TomlException {
    if (!file.has("release")) {
      return null;
    }
    TomlSection s = file.table("release");
    if (agreement == null) {
      throw s.invalid("", "needs an [agreement] table");
    }
    boolean caches = s.choice("kind", "router", List.of("router", "cache")).equals("cache");
    List<String> names =
        caches ? fleet.names() : routers.stream().map(Scenario.RouterSpec::name).toList();
    List<List<String>> waves = new ArrayList<>();
    for (TomlSection wave : s.tables("wave")) {
      List<String> parts = wave.texts("parts", List.of());
      if (parts.isEmpty() || !names.containsAll(parts)) {
        throw wave.invalid(
            "parts", parts + " are not to be released, there are " + String.join(", ", names));
      }
      waves.add(parts);
    }
    Trigger after = cue(s, "after", fleet, routers, versions);
    Scenario.Harm harm =
        Scenario.Harm.valueOf(
            s.choice("harm", "none", words(Scenario.Harm.values())).toUpperCase(Locale.ROOT));
    if (caches && (harm == Scenario.Harm.FADES || harm == Scenario.Harm.LEAKS)) {
      throw s.invalid("harm", "'" + harm.name().toLowerCase(Locale.ROOT) + "' is of routers only");
    }
    return new Scenario.ReleaseSpec(
        caches,
        s.bool("begins", true),
        s.durationNanos("at", after == null ? 2 * SECOND : 0, 0),
        after,
        s.integer("most_out", 1, 1, MOST_ROUTERS),
        s.integer("most_out_of_site", 1, 1, MOST_ROUTERS),
        waves,
        s.durationNanos("soak", SECOND, 0),
        s.integer("samples", 20, 0, 1_000_000),
        s.number("worse", 0.05, 0, 1),
        s.durationNanos("limit", 10 * SECOND, SECOND),
        s.durationNanos("alone", 0, 0),
        harm,
        s.durationNanos("good_for", harm.goodFor(), 0),
        s.integer("most_tries", 0, 0, 64),
        s.integer("spare", -1, -1, MOST_ROUTERS),
        s.number("cores", 0, 0, 1000),
        s.number("worse_missed", 0.4, 0, 1));
  }

  private List<Scenario.OrderSpec> orders(
      Scenario.ReleaseSpec release,
      Scenario.Fleet fleet,
      List<Scenario.RouterSpec> routers,
      int versions)
      throws TomlException {
    List<Scenario.OrderSpec> all = new ArrayList<>();
    for (TomlSection s : file.tables("order")) {
      Trigger after = cue(s, "after", fleet, routers, versions);
      String what =
          s.choice(
              "what",
              "halt",
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
                  "zone-free"));
      boolean ofZone = what.startsWith("zone-");
      if (ofZone ? !file.has("zones") : release == null) {
        throw s.invalid("", "needs a " + (ofZone ? "[zones]" : "[release]") + " table");
      }
      List<String> parts =
          new ArrayList<>(
              ofZone
                  ? fleet.places()
                  : what.equals("lost") && !release.caches()
                      ? routers.stream().map(Scenario.RouterSpec::name).toList()
                      : fleet.names());
      String part = OF_PART.contains(what) ? s.choice("part", parts.get(0), parts) : "";
      all.add(
          new Scenario.OrderSpec(
              s.durationNanos("at", after == null ? 5 * SECOND : 0, 0),
              after,
              what,
              part,
              what.equals("budget") ? s.integer("most_out", 1, 0, MOST_ROUTERS) : 0));
    }
    return List.copyOf(all);
  }

  private Scenario.Agreement agreement() throws TomlException {
    if (!file.has("agreement")) {
      return null;
    }
    TomlSection s = file.table("agreement");
    return new Scenario.Agreement(
        s.durationNanos("lease", 2 * SECOND, SECOND), s.number("drift", 0.01, 0, 0.2));
  }

  private Scenario.ZonesSpec zones(Scenario.Agreement agreement, Scenario.Fleet fleet)
      throws TomlException {
    if (!file.has("zones")) {
      return null;
    }
    TomlSection s = file.table("zones");
    if (agreement == null || fleet.places().size() < 2) {
      throw s.invalid("", "needs an [agreement] table and two sites at least");
    }
    List<String> regions = s.texts("regions", List.of());
    if (!regions.isEmpty() && regions.size() != fleet.places().size()) {
      throw s.invalid(
          "regions",
          regions.size()
              + " of them, allowed is one for each of the sites "
              + String.join(", ", fleet.places()));
    }
    return new Scenario.ZonesSpec(
        s.bool("decided", true),
        s.number("each_per_s", 100, 0.1, 1e6),
        s.number("fetches_per_s", 1e6, 1, 1e6),
        s.integer("reserve", 50, 0, 50),
        s.durationNanos("back_within", 30 * SECOND, 0),
        s.number("peak", 1.2, 0.1, 100),
        regions);
  }

  private static List<Scenario.VersionSpec> versions(
      List<TomlSection> proposed,
      Scenario.Agreement agreement,
      Scenario.Fleet fleet,
      List<Scenario.RouterSpec> routers,
      long length)
      throws TomlException {
    List<Scenario.VersionSpec> all = new ArrayList<>();
    List<String> names = fleet.names();
    for (TomlSection s : proposed) {
      if (agreement == null) {
        throw s.invalid("", "needs an [agreement] table");
      }
      List<String> out = s.texts("out", List.of());
      for (String name : out) {
        if (!names.contains(name)) {
          throw s.invalid(
              "out", "there is no '" + name + "', there are " + String.join(", ", names));
        }
      }
      Trigger after = cue(s, "after", fleet, routers, proposed.size());
      long at = s.durationNanos("at", after == null ? 2 * SECOND : 0, 0);
      if (at > length) {
        throw s.invalid(
            "at", "after the end, allowed is up to the length of " + length / MILLI + "ms");
      }
      all.add(
          new Scenario.VersionSpec(
              at,
              after,
              s.text("reason", "as the scenario has it"),
              out,
              s.integer("most_tries", 0, 0, 64),
              s.texts("unsafe", List.of()),
              s.bool("newest_list", false),
              s.bool("dies", false)));
    }
    return List.copyOf(all);
  }

  private Scenario.Fleet fleet() throws TomlException {
    TomlSection s = file.table("fleet");
    List<String> sites = s.texts("sites", List.of("east", "west"));
    if (sites.isEmpty()) {
      throw s.invalid("sites", "empty, at least one is needed");
    }
    List<String> reports = s.texts("report", List.of());
    for (String report : reports) {
      if (!REPORTS.contains(report)) {
        throw s.invalid(
            "report", "unknown '" + report + "', allowed are " + String.join(", ", REPORTS));
      }
    }
    CacheServerSpec shape =
        new CacheServerSpec(
            s.number("speed", 1, 0.01, 100),
            s.integer("workers", 4, 1, 1000),
            s.integer("room", 64, 0, 100_000),
            s.sizeBytes("capacity", 64L << 20, 1024),
            s.durationNanos("ttl", 60 * SECOND, MILLI),
            s.number("cold_share", 0.2, 0.01, 1),
            s.durationNanos("cold_for", 10 * SECOND, 0),
            s.number("fall_multiple", 4, 1, 1000),
            s.durationNanos("fall_after", SECOND, 100 * MILLI),
            s.integer("connections", 1000, 1, 100_000),
            s.durationNanos("connect_work", MILLI, 0),
            s.integer("multiplex", 1, 1, 1000),
            s.bool("share_fetch", true),
            s.bool("cancel", true),
            reports);
    return new Scenario.Fleet(
        s.integer("caches", 6, 1, MOST_CACHES), sites, s.integer("cell", 3, 1, 1000), shape);
  }

  private OriginModel.Shape origin() throws TomlException {
    TomlSection s = file.table("origin");
    return new OriginModel.Shape(
        s.integer("workers", 16, 1, 10_000),
        s.integer("queue", 2000, 0, 1_000_000),
        s.durationNanos("work", 60 * MILLI, 0),
        s.number("fall_multiple", 8, 1, 10_000),
        s.durationNanos("fall_after", 3 * SECOND, 0),
        s.durationNanos("fall_for", 5 * SECOND, 0));
  }

  private Scenario.Rules rules() throws TomlException {
    TomlSection s = file.table("settings");
    return new Scenario.Rules(
        s.integer("most_tries", 4, 1, 16),
        s.bool("second_copies", true),
        s.bool("cancel", true),
        s.durationNanos("most_retry_after", 2 * SECOND, 0),
        s.durationNanos("dial_timeout", 250 * MILLI, MILLI),
        s.durationNanos("conn_idle", 5 * SECOND, 100 * MILLI),
        s.durationNanos("drain_grace", 500 * MILLI, 0),
        s.durationNanos("answer_slack", 20 * MILLI, 0),
        s.durationNanos("ask_within", 10 * SECOND, MILLI));
  }

  private List<Scenario.Type> types() throws TomlException {
    List<Scenario.Type> types = new ArrayList<>();
    for (TomlSection s : file.tables("class")) {
      String name = s.text("name", "class" + types.size());
      checkName(s, name, types.stream().map(Scenario.Type::name).toList());
      types.add(type(s, name));
    }
    if (!types.isEmpty()) {
      return List.copyOf(types);
    }
    return List.of(
        new Scenario.Type(
            "level",
            Scenario.Effect.SAFE,
            0.85,
            8 * MILLI,
            400,
            400 * MILLI,
            1500 * MILLI,
            1,
            0,
            "all"),
        new Scenario.Type(
            "correction",
            Scenario.Effect.KEYED,
            0.1,
            12 * MILLI,
            200,
            700 * MILLI,
            2 * SECOND,
            3,
            4 * SECOND,
            "all"),
        new Scenario.Type(
            "alert-ack",
            Scenario.Effect.UNSAFE,
            0.05,
            12 * MILLI,
            100,
            700 * MILLI,
            2 * SECOND,
            5,
            0,
            "all"));
  }

  private Scenario.Type type(TomlSection s, String name) throws TomlException {
    String effect = s.choice("effect", "safe", words(Scenario.Effect.values()));
    long aim = s.durationNanos("aim", 400 * MILLI, MILLI);
    long deadline = s.durationNanos("deadline", 1500 * MILLI, MILLI);
    if (deadline < aim) {
      throw s.invalid("deadline", "before the aim, allowed is " + aim / MILLI + "ms or later");
    }
    return new Scenario.Type(
        name,
        Scenario.Effect.valueOf(effect.toUpperCase(Locale.ROOT)),
        s.number("share", 1, 0, 1000),
        s.durationNanos("work", 8 * MILLI, 0),
        s.integer("size", 400, 0, 65_000),
        aim,
        deadline,
        s.number("worth", 1, 0, 1000),
        s.durationNanos("window", 4 * SECOND, 0),
        s.choice("scope", "all", List.of("all", "zone", "cell")));
  }

  private static void checkName(TomlSection s, String name, List<String> taken)
      throws TomlException {
    if (!name.matches("[A-Za-z0-9_-]{1,32}") || taken.contains(name)) {
      throw s.invalid(
          "name", "'" + name + "' is taken or odd, allowed are letters, digits, - and _");
    }
  }

  private static List<String> words(Enum<?>[] values) {
    return Arrays.stream(values).map(v -> v.name().toLowerCase(Locale.ROOT)).toList();
  }

  private List<Scenario.RouterSpec> routers(List<String> sites) throws TomlException {
    List<Scenario.RouterSpec> routers = new ArrayList<>();
    for (TomlSection s : file.tables("router")) {
      int count = s.integer("count", 1, 1, MOST_ROUTERS);
      if (count > 1 && s.has("name")) {
        throw s.invalid("name", "given beside count, allowed is one of them");
      }
      for (int i = 0; i < count; i++) {
        routers.add(router(s, routers, sites));
      }
    }
    if (routers.size() > MOST_ROUTERS) {
      throw file.invalid("router", "too many, allowed are " + MOST_ROUTERS);
    }
    return routers.isEmpty()
        ? List.of(
            new Scenario.RouterSpec("r1", 192, 1024, sites.get(0), 0, List.of()),
            new Scenario.RouterSpec("r2", 192, 1024, sites.get(0), 0, List.of()))
        : List.copyOf(routers);
  }

  private static Scenario.RouterSpec router(
      TomlSection s, List<Scenario.RouterSpec> before, List<String> sites) throws TomlException {
    String name = s.text("name", "r" + (before.size() + 1));
    checkName(s, name, before.stream().map(Scenario.RouterSpec::name).toList());
    return new Scenario.RouterSpec(
        name,
        s.integer("memory_mb", 192, 32, 4096),
        s.integer("sockets", 1024, 64, 65_536),
        s.choice("site", sites.get(0), sites),
        clockOff(s),
        s.texts("lacks", List.of()));
  }

  /** Fast or slow by a time; one of both. */
  private static long clockOff(TomlSection s) throws TomlException {
    if (s.has("clock_fast") && s.has("clock_slow")) {
      throw s.invalid("clock_slow", "given beside clock_fast, allowed is one of them");
    }
    return s.durationNanos("clock_fast", 0, 0) - s.durationNanos("clock_slow", 0, 0);
  }

  private List<Scenario.Clients> clients(
      List<Scenario.Type> types, List<Scenario.RouterSpec> routers, long length)
      throws TomlException {
    List<Scenario.Clients> all = new ArrayList<>();
    for (TomlSection s : file.tables("clients")) {
      List<String> classes = s.texts("classes", List.of());
      for (String name : classes) {
        if (types.stream().noneMatch(t -> t.name().equals(name))) {
          throw s.invalid(
              "classes",
              "no class '"
                  + name
                  + "', there are "
                  + String.join(", ", types.stream().map(Scenario.Type::name).toList()));
        }
      }
      long from = s.durationNanos("from", 0, 0);
      long to = end(s, from, length);
      all.add(
          new Scenario.Clients(
              s.number("rate", 100, 0.1, MOST_RATE),
              classes,
              s.integer("keys", 400, 1, 10_000_000),
              s.number("skew", 0.9, 0, 3),
              s.integer("retries", 2, 0, 10),
              s.durationNanos("backoff", 100 * MILLI, 0),
              s.number("try_share", 0.6, 0.05, 1),
              s.durationNanos("notice", 1500 * MILLI, 0),
              from,
              to,
              site(s, routers),
              conduct(s)));
    }
    return all.isEmpty()
        ? List.of(
            new Scenario.Clients(
                100,
                List.of(),
                400,
                0.9,
                2,
                100 * MILLI,
                0.6,
                1500 * MILLI,
                0,
                length,
                "",
                Scenario.Conduct.USUAL))
        : List.copyOf(all);
  }

  private static Scenario.Conduct conduct(TomlSection s) throws TomlException {
    return new Scenario.Conduct(
        s.integer("pipeline", 1, 1, MOST_PIPELINED),
        s.number("wrong", 0, 0, 1),
        s.number("pieces", 0, 0, 1),
        s.number("hasty", 0, 0, 1),
        s.number("leaves", 0, 0, 1),
        s.integer("silent", 0, 0, MOST_SILENT));
  }

  /** A site that has routers, or none. */
  private static String site(TomlSection s, List<Scenario.RouterSpec> routers)
      throws TomlException {
    String site = s.text("site", "");
    List<String> sites = routers.stream().map(Scenario.RouterSpec::site).distinct().toList();
    if (!site.isEmpty() && !sites.contains(site)) {
      throw s.invalid(
          "site", "no router stands in '" + site + "', they stand in " + String.join(", ", sites));
    }
    return site;
  }

  private static long end(TomlSection s, long from, long length) throws TomlException {
    long to = s.durationNanos("to", length, 0);
    if (to <= from) {
      throw s.invalid(
          s.has("to") ? "to" : "from",
          "ends before it begins, allowed is after "
              + from / MILLI
              + "ms and up to the length of "
              + length / MILLI
              + "ms");
    }
    if (to > length) {
      throw s.invalid(
          "to", "after the end, allowed is up to the length of " + length / MILLI + "ms");
    }
    return to;
  }

  private List<Scenario.FaultSpec> faults(
      Scenario.Fleet fleet,
      List<Scenario.RouterSpec> routers,
      int versions,
      long length,
      long chosen)
      throws TomlException {
    List<Scenario.FaultSpec> faults = new ArrayList<>();
    List<String> kinds = Arrays.stream(Fault.Kind.values()).map(Fault.Kind::word).toList();
    for (TomlSection s : file.tables("fault")) {
      String word = s.choice("kind", "", kinds);
      Fault.Kind kind = Fault.Kind.values()[kinds.indexOf(word)];
      Trigger after = cue(s, "after", fleet, routers, versions);
      Trigger until = cue(s, "until", fleet, routers, versions);
      long from = s.durationNanos("from", after == null ? 5 * SECOND : 0, 0);
      long to = until == null ? end(s, from, length) : s.durationNanos("to", 0, 0);
      List<String> names =
          switch (kind.target()) {
            case CACHE -> fleet.names();
            case ROUTER, LINK, AGENT -> routers.stream().map(Scenario.RouterSpec::name).toList();
            case SITE -> fleet.places();
            default -> List.of();
          };
      if (kind.target() == Fault.Target.AGENT) {
        names = new ArrayList<>(names);
        names.addAll(fleet.names());
        names.add(DRIVER);
      }
      List<String> target = names.isEmpty() ? List.of() : target(s, names, chosen + faults.size());
      String way = kind.target() == Fault.Target.LINK ? s.choice("way", "store", ways(fleet)) : "";
      faults.add(
          new Scenario.FaultSpec(kind, target, amount(s, kind), from, to, way, after, until));
    }
    return List.copyOf(faults);
  }

  private static List<String> ways(Scenario.Fleet fleet) {
    List<String> ways = new ArrayList<>(List.of("store", "discovery", "caches"));
    ways.addAll(fleet.places());
    return ways;
  }

  /** What times are counted from in place of the start, or null. */
  private static Trigger cue(
      TomlSection s,
      String key,
      Scenario.Fleet fleet,
      List<Scenario.RouterSpec> routers,
      int versions)
      throws TomlException {
    String words = s.text(key, "");
    if (words.isEmpty()) {
      return null;
    }
    Trigger cue =
        Trigger.of(words)
            .orElseThrow(
                () ->
                    s.invalid(
                        key,
                        "'"
                            + words
                            + "' is no cue, such as 'version 1"
                            + " proposed', 'version 1 in force', 'version 1 settled' or 'r1"
                            + " says yes to version 1'"));
    boolean ofVersion = cue.what() != Trigger.What.OUT && cue.what() != Trigger.What.UP;
    if (!cue.router().isEmpty()
        && routers.stream().noneMatch(r -> r.name().equals(cue.router()))
        && (ofVersion || !fleet.names().contains(cue.router()))) {
      throw s.invalid(key, "there is no router '" + cue.router() + "'");
    }
    if (ofVersion && (cue.version() < 1 || cue.version() > versions)) {
      throw s.invalid(
          key, "version " + cue.version() + " is not among the " + versions + " that are proposed");
    }
    return cue;
  }

  /** Those named, or a share of all chosen by the seed, or the first one. */
  private static List<String> target(TomlSection s, List<String> names, long seed)
      throws TomlException {
    List<String> on = s.texts("on", List.of());
    for (String name : on) {
      if (!names.contains(name)) {
        throw s.invalid("on", "there is no '" + name + "', there are " + String.join(", ", names));
      }
    }
    if (s.has("share") && s.has("on")) {
      throw s.invalid("share", "given beside on, allowed is one of them");
    }
    if (s.has("share")) {
      int count = (int) Math.max(1, Math.round(names.size() * s.number("share", 1, 0.001, 1)));
      List<String> mixed = new ArrayList<>(names);
      ListSampler.shuffle(new RandomSources(seed).of("share"), mixed);
      return mixed.subList(0, count).stream().sorted().toList();
    }
    return on.isEmpty() ? names.subList(0, 1) : on;
  }

  /** The factor, the part or the time that the kind goes by. */
  private static double amount(TomlSection s, Fault.Kind kind) throws TomlException {
    return switch (kind) {
      case SLOW, ORIGIN_SLOW -> s.number("factor", 5, 0.01, 10_000);
      case ERRORS, SPOIL, RESET -> s.number("part", 0.5, 0.001, 1);
      case DRAIN_LATE -> s.durationNanos("delay", 3 * SECOND, 0);
      case DISCOVERY_SLOW -> s.durationNanos("delay", 2 * SECOND, 0);
      case DISCOVERY_BACK -> s.durationNanos("delay", 10 * SECOND, 0);
      case LINK_SLOW -> s.durationNanos("delay", 500 * MILLI, 0);
      case LINK_THROTTLE -> s.integer("bytes_per_second", 2000, 1, 1_000_000_000);
      case STORE_SLOW -> s.durationNanos("delay", 3 * SECOND, 0);
      case STORE_BACK -> s.integer("revisions", 1, 1, 1000);
      default -> 1;
    };
  }
}
