package beaconturn.rehearsal;

import beaconturn.standin.Fault;
import beaconturn.standin.RandomSources;
import beaconturn.toml.TomlException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Generates random scenarios for a search for violations: routers that agree, and overlapping
 * faults of links, the store, routers, sites and cache servers. The same seed always generates the
 * same scenario, so the order and number of random draws must not change.
 */
public final class RandomScenario {
  private static final long DEFAULT_LENGTH_MILLIS = 12_000;

  /** Minimum time before the first fault and between commands; minimum length of a fault. */
  private static final long MIN_INTERVAL_MILLIS = 500;

  private static final int CACHE_SERVER_COUNT = 6;
  private static final int REQUESTS_PER_SECOND_PER_ROUTER = 30;
  private static final List<String> TWO_SITES = List.of("east", "west");

  private static final List<Fault.Kind> VERSION_FAULT_KINDS =
      List.of(
          Fault.Kind.LINK_CUT,
          Fault.Kind.LINK_CUT,
          Fault.Kind.LINK_ONE_WAY,
          Fault.Kind.LINK_SLOW,
          Fault.Kind.LINK_HOLD,
          Fault.Kind.LINK_RESET,
          Fault.Kind.ANSWER_LOST,
          Fault.Kind.LINK_THROTTLE,
          Fault.Kind.SITE_CUT,
          Fault.Kind.STORE_DOWN,
          Fault.Kind.STORE_SLOW,
          Fault.Kind.STORE_STALE,
          Fault.Kind.ROUTER_KILL,
          Fault.Kind.ROUTER_TERM,
          Fault.Kind.ROUTER_PAUSE,
          Fault.Kind.ROUTER_PAUSE,
          Fault.Kind.SLOW,
          Fault.Kind.RESET,
          Fault.Kind.STALL);

  /** Faults that are drawn rarely, because no version comes into force after such a fault. */
  private static final List<Fault.Kind> FINAL_FAULT_KINDS =
      List.of(Fault.Kind.STORE_EMPTY, Fault.Kind.STORE_BACK);

  private static final double FINAL_FAULT_PROBABILITY = 0.25;

  /** Length of scenarios with a release or zones. */
  private static final long LONG_LENGTH_MILLIS = 30_000;

  private static final List<Fault.Kind> RELEASE_FAULT_KINDS =
      List.of(
          Fault.Kind.AGENT_KILL,
          Fault.Kind.AGENT_KILL,
          Fault.Kind.AGENT_PAUSE,
          Fault.Kind.ROUTER_KILL,
          Fault.Kind.ROUTER_PAUSE,
          Fault.Kind.LINK_CUT,
          Fault.Kind.LINK_ONE_WAY,
          Fault.Kind.LINK_HOLD,
          Fault.Kind.ANSWER_LOST,
          Fault.Kind.SITE_CUT,
          Fault.Kind.STORE_DOWN,
          Fault.Kind.STORE_SLOW,
          Fault.Kind.STORE_STALE,
          Fault.Kind.KILL,
          Fault.Kind.DRAIN,
          Fault.Kind.STALL);
  private static final List<String> DEFECTS =
      List.of("none", "none", "none", "crash", "mute", "refuses");

  /** Faults of the cache servers of a zone. */
  private static final List<Fault.Kind> ZONE_SERVER_FAULT_KINDS =
      List.of(
          Fault.Kind.KILL,
          Fault.Kind.STALL,
          Fault.Kind.STALL,
          Fault.Kind.SLOW,
          Fault.Kind.SLOW,
          Fault.Kind.ERRORS,
          Fault.Kind.VANISH,
          Fault.Kind.UNLIST,
          Fault.Kind.RESET,
          Fault.Kind.DRAIN);

  /** Faults that affect zones from outside their cache servers. */
  private static final List<Fault.Kind> ZONE_ENVIRONMENT_FAULT_KINDS =
      List.of(
          Fault.Kind.SITE_CUT,
          Fault.Kind.LINK_CUT,
          Fault.Kind.LINK_ONE_WAY,
          Fault.Kind.ANSWER_LOST,
          Fault.Kind.LINK_SLOW,
          Fault.Kind.STORE_DOWN,
          Fault.Kind.STORE_SLOW,
          Fault.Kind.STORE_STALE,
          Fault.Kind.ROUTER_KILL,
          Fault.Kind.ROUTER_PAUSE,
          Fault.Kind.ORIGIN_SLOW);

  private static final List<String> THREE_SITES = List.of("east", "south", "west");
  private static final int SERVERS_PER_SITE = 3;

  /** Faults of zones end in the first half, so that traffic can return before the end. */
  private static final int FAULT_PERIOD_DIVISOR = 2;

  /** What scenarios are about; the command line takes the constants in lower case. */
  public enum Kind {
    /** Configuration versions that contradict each other. */
    VERSIONS,
    /** A release of routers or cache servers. */
    RELEASES,
    /** Zones that fail, are cut off or are unlisted, in whole or in part. */
    PLACES,
    /** Client connections: pipelining, invalid commands, split writes, signals to routers. */
    CLIENTS
  }

  private final UniformRandomProvider random;
  private final int routerCount;
  private long lengthMillis = DEFAULT_LENGTH_MILLIS;
  private List<String> sites = TWO_SITES;
  private final StringBuilder out = new StringBuilder();
  private final Set<String> affectedInstances = new HashSet<>();

  private RandomScenario(long seed, int routerCount) {
    this.random = new RandomSources(seed).of("storm");
    this.routerCount = routerCount;
  }

  /** Returns the scenario file of a seed; the router count has no effect on {@code CLIENTS}. */
  public static String generateText(Kind kind, long seed, int routerCount) {
    RandomScenario generator = new RandomScenario(seed, routerCount);
    if (kind == Kind.VERSIONS) {
      generator.writeVersionScenario(seed);
    } else if (kind == Kind.RELEASES) {
      generator.writeReleaseScenario(seed);
    } else if (kind == Kind.CLIENTS) {
      return RandomClientScenario.generateText(seed);
    } else {
      generator.writeZoneScenario(seed);
    }
    return generator.out.toString();
  }

  /** Returns the scenario of a seed. */
  public static Scenario generate(Kind kind, long seed, int routerCount) throws TomlException {
    return ScenarioReader.read(
        "storm-" + seed + ".toml", generateText(kind, seed, routerCount), null);
  }

  /**
   * Writes a scenario of three zones with three cache servers each. Faults end early enough for all
   * keys to be served in their own zone again before the end.
   */
  private void writeZoneScenario(long seed) {
    lengthMillis = LONG_LENGTH_MILLIS;
    sites = THREE_SITES;
    writeHeader(seed);
    out.append(
        String.format(
            "[fleet]%ncaches = %d%nsites = %s%ncold_for = \"2s\"%n",
            SERVERS_PER_SITE * THREE_SITES.size(), ScenarioPrinter.quotedList(THREE_SITES)));
    // One cache server carries more than all requests of a zone.
    out.append(String.format("[zones]%neach_per_s = 100%nback_within = \"12s\"%n"));
    int faults = 2 + random.nextInt(3);
    long latestMillis = lengthMillis / FAULT_PERIOD_DIVISOR;
    for (int i = 0; i < faults; i++) {
      if (random.nextBoolean()) {
        writeZoneFault(
            ZONE_SERVER_FAULT_KINDS.get(random.nextInt(ZONE_SERVER_FAULT_KINDS.size())),
            latestMillis);
      } else {
        writeFault(
            ZONE_ENVIRONMENT_FAULT_KINDS.get(random.nextInt(ZONE_ENVIRONMENT_FAULT_KINDS.size())),
            0,
            latestMillis);
      }
    }
  }

  /** Writes a fault of all cache servers of a zone, or of some of them. */
  private void writeZoneFault(Fault.Kind kind, long latestMillis) {
    int siteIndex = random.nextInt(THREE_SITES.size());
    int count =
        random.nextInt(3) == 0 ? 1 + random.nextInt(SERVERS_PER_SITE - 1) : SERVERS_PER_SITE;
    List<String> names = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      String name = Scenario.cacheServerName(siteIndex + i * THREE_SITES.size());
      // One fault per server: a killed server cannot be drained or killed again.
      if (affectedInstances.add(name)) {
        names.add(name);
      }
    }
    if (names.isEmpty()) {
      return;
    }
    long fromMillis = MIN_INTERVAL_MILLIS + random.nextLong(latestMillis - MIN_INTERVAL_MILLIS);
    long toMillis =
        Math.min(
            latestMillis,
            fromMillis + MIN_INTERVAL_MILLIS + random.nextLong(DEFAULT_LENGTH_MILLIS));
    out.append(
        String.format(
            "[[fault]]%nkind = \"%s\"%nfrom = \"%dms\"%nto = \"%dms\"%non = %s%n",
            kind.word(),
            fromMillis,
            Math.max(toMillis, fromMillis + MIN_INTERVAL_MILLIS),
            ScenarioPrinter.quotedList(names)));
  }

  private void writeHeader(long seed) {
    out.append(
            String.format(
                Locale.ROOT,
                "name = \"storm-%d\"%nseed = %d%nlength = \"%dms\"%n",
                seed,
                seed,
                lengthMillis))
        .append(String.format("[agreement]%nlease = \"1s\"%n"));
    for (int i = 0; i < routerCount; i++) {
      out.append(String.format("[[router]]%nsite = \"%s\"%n", sites.get(i % sites.size())));
    }
    out.append(
        String.format("[[clients]]%nrate = %d%n", REQUESTS_PER_SECOND_PER_ROUTER * routerCount));
  }

  /** Writes a scenario of a release with commands of operators. */
  private void writeReleaseScenario(long seed) {
    lengthMillis = LONG_LENGTH_MILLIS;
    writeHeader(seed);
    boolean ofCacheServers = random.nextInt(3) == 0;
    out.append(String.format("[fleet]%ncold_for = \"2s\"%n"));
    out.append(
        String.format(
            Locale.ROOT,
            "[release]%nkind = \"%s\"%nat = \"1s\"%nmost_out = %d%n"
                + "most_out_of_site = %d%nsoak = \"%dms\"%nsamples = 10%nlimit ="
                + " \"6s\"%nharm = \"%s\"%n",
            ofCacheServers ? "cache" : "router",
            1 + random.nextInt(3),
            1 + random.nextInt(2),
            MIN_INTERVAL_MILLIS / 2 + random.nextInt((int) MIN_INTERVAL_MILLIS),
            DEFECTS.get(random.nextInt(DEFECTS.size()))));
    int commands = random.nextInt(3);
    for (int i = 0; i < commands; i++) {
      writeCommands(random.nextLong(lengthMillis - MIN_INTERVAL_MILLIS));
    }
    int faults = 2 + random.nextInt(4);
    for (int i = 0; i < faults; i++) {
      writeFault(RELEASE_FAULT_KINDS.get(random.nextInt(RELEASE_FAULT_KINDS.size())), 0);
    }
    if (random.nextDouble() < FINAL_FAULT_PROBABILITY / 2) {
      writeFault(FINAL_FAULT_KINDS.get(random.nextInt(FINAL_FAULT_KINDS.size())), lengthMillis / 2);
    }
  }

  /** Writes a command, or a command and its reversal. */
  private void writeCommands(long atMillis) {
    long reversalMillis =
        Math.min(lengthMillis, atMillis + MIN_INTERVAL_MILLIS + random.nextLong(lengthMillis / 4));
    String server = Scenario.cacheServerName(random.nextInt(CACHE_SERVER_COUNT));
    switch (random.nextInt(4)) {
      case 0 -> writeCommand("halt", "", atMillis).writeCommand("resume", "", reversalMillis);
      case 1 -> writeCommand("back", "", atMillis);
      case 2 ->
          writeCommand("drain", "part = \"" + server + "\"\n", atMillis)
              .writeCommand("undrain", "part = \"" + server + "\"\n", reversalMillis);
      default ->
          writeCommand("budget", "most_out = " + random.nextInt(3) + "\n", atMillis)
              .writeCommand(
                  "budget", "most_out = " + (1 + random.nextInt(2)) + "\n", reversalMillis);
    }
  }

  private RandomScenario writeCommand(String command, String arguments, long atMillis) {
    out.append(
        String.format("[[order]]%nwhat = \"%s\"%nat = \"%dms\"%n%s", command, atMillis, arguments));
    return this;
  }

  /** Writes a scenario of versions that contradict each other. */
  private void writeVersionScenario(long seed) {
    writeHeader(seed);
    List<String> previousServers = List.of();
    int versionCount = 2 + random.nextInt(3);
    for (int i = 0; i < versionCount; i++) {
      previousServers =
          writeVersion(
              previousServers, MIN_INTERVAL_MILLIS + i * lengthMillis / (versionCount + 1));
    }
    int faults = 3 + random.nextInt(5);
    for (int i = 0; i < faults; i++) {
      writeFault(VERSION_FAULT_KINDS.get(random.nextInt(VERSION_FAULT_KINDS.size())), 0);
    }
    if (random.nextDouble() < FINAL_FAULT_PROBABILITY) {
      writeFault(FINAL_FAULT_KINDS.get(random.nextInt(FINAL_FAULT_KINDS.size())), lengthMillis / 2);
    }
  }

  /**
   * Writes and returns one or two excluded servers that the previous version does not exclude, so
   * that the versions contradict each other.
   */
  private List<String> writeVersion(List<String> previousServers, long atMillis) {
    List<String> servers = new ArrayList<>();
    int count = 1 + random.nextInt(2);
    while (servers.size() < count) {
      String server = Scenario.cacheServerName(random.nextInt(CACHE_SERVER_COUNT));
      if (!servers.contains(server) && !previousServers.contains(server)) {
        servers.add(server);
      }
    }
    out.append(
        String.format(
            "[[version]]%nat = \"%dms\"%nout = %s%nmost_tries = %d%n",
            atMillis, ScenarioPrinter.quotedList(servers), random.nextInt(4)));
    return servers;
  }

  private void writeFault(Fault.Kind kind, long earliestMillis) {
    writeFault(kind, earliestMillis, lengthMillis);
  }

  private void writeFault(Fault.Kind kind, long earliestMillis, long latestMillis) {
    String router = randomRouter();
    if (kind.target() == Fault.Target.ROUTER && !affectedInstances.add(router)) {
      // One fault per router process: a killed router cannot be terminated or paused.
      return;
    }
    long fromMillis =
        earliestMillis + random.nextLong(latestMillis - earliestMillis - MIN_INTERVAL_MILLIS);
    long toMillis =
        Math.min(
            latestMillis,
            fromMillis + MIN_INTERVAL_MILLIS / 2 + random.nextLong(DEFAULT_LENGTH_MILLIS / 2));
    out.append(
        String.format(
            "[[fault]]%nkind = \"%s\"%nfrom = \"%dms\"%nto = \"%dms\"%n",
            kind.word(), fromMillis, toMillis));
    switch (kind.target()) {
      case ROUTER ->
          out.append(String.format("on = %s%n", ScenarioPrinter.quotedList(List.of(router))));
      case AGENT ->
          out.append(
              String.format(
                  "on = %s%n",
                  ScenarioPrinter.quotedList(
                      List.of(random.nextBoolean() ? ScenarioReader.DRIVER : router))));
      case LINK ->
          out.append(
              String.format(
                  "on = %s%nway = \"%s\"%n",
                  ScenarioPrinter.quotedList(randomRouters()), randomLinkDestination()));
      case SITE ->
          out.append(
              String.format(
                  "on = %s%n",
                  ScenarioPrinter.quotedList(List.of(sites.get(random.nextInt(sites.size()))))));
      case CACHE ->
          out.append(
              String.format(
                  "on = %s%n",
                  ScenarioPrinter.quotedList(
                      List.of(Scenario.cacheServerName(random.nextInt(CACHE_SERVER_COUNT))))));
      default -> {}
    }
  }

  private String randomLinkDestination() {
    String destination = random.nextInt(4) == 0 ? "discovery" : "store";
    return sites == TWO_SITES || random.nextBoolean()
        ? destination
        : sites.get(random.nextInt(sites.size()));
  }

  private String randomRouter() {
    return "r" + (1 + random.nextInt(routerCount));
  }

  private List<String> randomRouters() {
    List<String> names = new ArrayList<>(List.of(randomRouter()));
    String other = randomRouter();
    if (random.nextBoolean() && !names.contains(other)) {
      names.add(other);
    }
    return names;
  }
}
