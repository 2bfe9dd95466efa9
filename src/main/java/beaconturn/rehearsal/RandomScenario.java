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
 * Scenarios made of chance, for a search: routers that agree, versions that contradict each other
 * one after the other, and faults of links, the store, routers, sites and cache servers at any
 * time, also over each other. A seed always makes the same one.
 */
public final class RandomScenario {
  private static final long LENGTH_MILLIS = 12_000;
  private static final long CALM_MILLIS = 500;
  private static final int CACHES = 6;
  private static final int RATE = 30;
  private static final List<String> SITES = List.of("east", "west");

  /** Those at the end of the list are rare: nothing comes into force after them. */
  private static final List<Fault.Kind> KINDS =
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

  private static final List<Fault.Kind> LAST =
      List.of(Fault.Kind.STORE_EMPTY, Fault.Kind.STORE_BACK);
  private static final double LAST_SHARE = 0.25;

  /** A release with faults of its own lasts longer. */
  private static final long RELEASE_MILLIS = 30_000;

  private static final List<Fault.Kind> OF_RELEASES =
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
  private static final List<String> HARMS =
      List.of("none", "none", "none", "crash", "mute", "refuses");

  /** Faults of places: of their cache servers, and around them. */
  private static final List<Fault.Kind> OF_PLACES =
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

  private static final List<Fault.Kind> AROUND_PLACES =
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
  private static final int OF_EACH = 3;
  private static final int TWICE = 2;

  /** What is played. */
  public enum About {
    /** Versions that contradict each other. */
    VERSIONS,
    /** A release of routers or of cache servers. */
    RELEASES,
    /** Places, whole or in part, that fail, are cut off, or are called gone. */
    PLACES,
    /** Clients and connections: pipelines, wrong commands, pieces, signals in series, crowds. */
    CLIENTS
  }

  private final UniformRandomProvider random;
  private final int routers;
  private long length = LENGTH_MILLIS;
  private List<String> sites = SITES;
  private final StringBuilder out = new StringBuilder();
  private final Set<String> gone = new HashSet<>();

  private RandomScenario(long seed, int routers) {
    this.random = new RandomSources(seed).of("storm");
    this.routers = routers;
  }

  /** The scenario of a seed, as a file. */
  public static String text(About about, long seed, int routers) {
    RandomScenario storm = new RandomScenario(seed, routers);
    if (about == About.VERSIONS) {
      storm.versions(seed);
    } else if (about == About.RELEASES) {
      storm.release(seed);
    } else if (about == About.CLIENTS) {
      return RandomClientScenario.text(seed);
    } else {
      storm.places(seed);
    }
    return storm.out.toString();
  }

  /** The same, read. */
  public static Scenario of(About about, long seed, int routers) throws TomlException {
    return ScenarioReader.read("storm-" + seed + ".toml", text(about, seed, routers), null);
  }

  /**
   * Three places of three cache servers each, whose faults have ended long enough before the end
   * that all must be near again by then.
   */
  private void places(long seed) {
    length = RELEASE_MILLIS;
    sites = THREE_SITES;
    head(seed);
    out.append(
        String.format(
            "[fleet]%ncaches = %d%nsites = %s%ncold_for = \"2s\"%n",
            OF_EACH * THREE_SITES.size(), ScenarioPrinter.words(THREE_SITES)));
    // A cache server does more than what all together want of a place.
    out.append(String.format("[zones]%neach_per_s = 100%nback_within = \"12s\"%n"));
    int faults = 2 + random.nextInt(3);
    long last = length / TWICE;
    for (int i = 0; i < faults; i++) {
      if (random.nextBoolean()) {
        placeFault(OF_PLACES.get(random.nextInt(OF_PLACES.size())), last);
      } else {
        fault(AROUND_PLACES.get(random.nextInt(AROUND_PLACES.size())), 0, last);
      }
    }
  }

  /** All cache servers of a place, or some of them. */
  private void placeFault(Fault.Kind kind, long last) {
    int site = random.nextInt(THREE_SITES.size());
    int count = random.nextInt(3) == 0 ? 1 + random.nextInt(OF_EACH - 1) : OF_EACH;
    List<String> names = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      String name = Scenario.cacheName(site + i * THREE_SITES.size());
      // What has been killed cannot be drained or killed meanwhile.
      if (gone.add(name)) {
        names.add(name);
      }
    }
    if (names.isEmpty()) {
      return;
    }
    long from = CALM_MILLIS + random.nextLong(last - CALM_MILLIS);
    long to = Math.min(last, from + CALM_MILLIS + random.nextLong(LENGTH_MILLIS));
    out.append(
        String.format(
            "[[fault]]%nkind = \"%s\"%nfrom = \"%dms\"%nto = \"%dms\"%non = %s%n",
            kind.word(), from, Math.max(to, from + CALM_MILLIS), ScenarioPrinter.words(names)));
  }

  private void head(long seed) {
    out.append(
            String.format(
                Locale.ROOT,
                "name = \"storm-%d\"%nseed = %d%nlength = \"%dms\"%n",
                seed,
                seed,
                length))
        .append(String.format("[agreement]%nlease = \"1s\"%n"));
    for (int i = 0; i < routers; i++) {
      out.append(String.format("[[router]]%nsite = \"%s\"%n", sites.get(i % sites.size())));
    }
    out.append(String.format("[[clients]]%nrate = %d%n", RATE * routers));
  }

  /** A release and what operators order meanwhile. */
  private void release(long seed) {
    length = RELEASE_MILLIS;
    head(seed);
    boolean caches = random.nextInt(3) == 0;
    out.append(String.format("[fleet]%ncold_for = \"2s\"%n"));
    out.append(
        String.format(
            Locale.ROOT,
            "[release]%nkind = \"%s\"%nat = \"1s\"%nmost_out = %d%n"
                + "most_out_of_site = %d%nsoak = \"%dms\"%nsamples = 10%nlimit ="
                + " \"6s\"%nharm = \"%s\"%n",
            caches ? "cache" : "router",
            1 + random.nextInt(3),
            1 + random.nextInt(2),
            CALM_MILLIS / 2 + random.nextInt((int) CALM_MILLIS),
            HARMS.get(random.nextInt(HARMS.size()))));
    int orders = random.nextInt(3);
    for (int i = 0; i < orders; i++) {
      order(random.nextLong(length - CALM_MILLIS));
    }
    int faults = 2 + random.nextInt(4);
    for (int i = 0; i < faults; i++) {
      fault(OF_RELEASES.get(random.nextInt(OF_RELEASES.size())), 0);
    }
    if (random.nextDouble() < LAST_SHARE / 2) {
      fault(LAST.get(random.nextInt(LAST.size())), length / 2);
    }
  }

  private void order(long at) {
    long later = Math.min(length, at + CALM_MILLIS + random.nextLong(length / 4));
    String cache = Scenario.cacheName(random.nextInt(CACHES));
    switch (random.nextInt(4)) {
      case 0 -> order("halt", "", at).order("resume", "", later);
      case 1 -> order("back", "", at);
      case 2 ->
          order("drain", "part = \"" + cache + "\"\n", at)
              .order("undrain", "part = \"" + cache + "\"\n", later);
      default ->
          order("budget", "most_out = " + random.nextInt(3) + "\n", at)
              .order("budget", "most_out = " + (1 + random.nextInt(2)) + "\n", later);
    }
  }

  private RandomScenario order(String what, String more, long at) {
    out.append(String.format("[[order]]%nwhat = \"%s\"%nat = \"%dms\"%n%s", what, at, more));
    return this;
  }

  private void versions(long seed) {
    head(seed);
    List<String> before = List.of();
    int versions = 2 + random.nextInt(3);
    for (int i = 0; i < versions; i++) {
      before = version(before, CALM_MILLIS + i * length / (versions + 1));
    }
    int faults = 3 + random.nextInt(5);
    for (int i = 0; i < faults; i++) {
      fault(KINDS.get(random.nextInt(KINDS.size())), 0);
    }
    if (random.nextDouble() < LAST_SHARE) {
      fault(LAST.get(random.nextInt(LAST.size())), length / 2);
    }
  }

  /**
   * One or two servers out that were not out before, so that it contradicts the version before it.
   */
  private List<String> version(List<String> before, long at) {
    List<String> servers = new ArrayList<>();
    int count = 1 + random.nextInt(2);
    while (servers.size() < count) {
      String server = Scenario.cacheName(random.nextInt(CACHES));
      if (!servers.contains(server) && !before.contains(server)) {
        servers.add(server);
      }
    }
    out.append(
        String.format(
            "[[version]]%nat = \"%dms\"%nout = %s%nmost_tries = %d%n",
            at, ScenarioPrinter.words(servers), random.nextInt(4)));
    return servers;
  }

  private void fault(Fault.Kind kind, long earliest) {
    fault(kind, earliest, length);
  }

  private void fault(Fault.Kind kind, long earliest, long last) {
    String struck = router();
    if (kind.target() == Fault.Target.ROUTER && !gone.add(struck)) {
      // One process cannot be killed and told to stop at the same time.
      return;
    }
    long from = earliest + random.nextLong(last - earliest - CALM_MILLIS);
    long to = Math.min(last, from + CALM_MILLIS / 2 + random.nextLong(LENGTH_MILLIS / 2));
    out.append(
        String.format(
            "[[fault]]%nkind = \"%s\"%nfrom = \"%dms\"%nto = \"%dms\"%n", kind.word(), from, to));
    switch (kind.target()) {
      case ROUTER -> out.append(String.format("on = %s%n", ScenarioPrinter.words(List.of(struck))));
      case AGENT ->
          out.append(
              String.format(
                  "on = %s%n",
                  ScenarioPrinter.words(
                      List.of(random.nextBoolean() ? ScenarioReader.DRIVER : struck))));
      case LINK ->
          out.append(
              String.format("on = %s%nway = \"%s\"%n", ScenarioPrinter.words(some()), way()));
      case SITE ->
          out.append(
              String.format(
                  "on = %s%n",
                  ScenarioPrinter.words(List.of(sites.get(random.nextInt(sites.size()))))));
      case CACHE ->
          out.append(
              String.format(
                  "on = %s%n",
                  ScenarioPrinter.words(List.of(Scenario.cacheName(random.nextInt(CACHES))))));
      default -> {}
    }
  }

  private String way() {
    String agreed = random.nextInt(4) == 0 ? "discovery" : "store";
    return sites == SITES || random.nextBoolean()
        ? agreed
        : sites.get(random.nextInt(sites.size()));
  }

  private String router() {
    return "r" + (1 + random.nextInt(routers));
  }

  private List<String> some() {
    List<String> names = new ArrayList<>(List.of(router()));
    String other = router();
    if (random.nextBoolean() && !names.contains(other)) {
      names.add(other);
    }
    return names;
  }
}
