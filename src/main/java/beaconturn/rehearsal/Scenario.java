package beaconturn.rehearsal;

import beaconturn.agreement.AgreementTiming;
import beaconturn.history.InvariantBounds;
import beaconturn.history.RepeatRule;
import beaconturn.history.RequestClassBounds;
import beaconturn.history.RolloutBounds;
import beaconturn.history.ZoneBounds;
import beaconturn.standin.CacheServerSpec;
import beaconturn.standin.EmulatedFleet;
import beaconturn.standin.Fault;
import beaconturn.standin.OriginModel;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

/**
 * A whole rehearsal as a file describes it, with every default filled in. Times are nanoseconds;
 * those of clients, faults and versions count from the first request. The agreement is null where
 * routers share nothing.
 */
public record Scenario(
    String name,
    String about,
    long seed,
    long length,
    Fleet fleet,
    OriginModel.Shape origin,
    long listLag,
    Rules rules,
    List<Type> types,
    List<RouterSpec> routers,
    List<Clients> clients,
    List<FaultSpec> faults,
    Agreement agreement,
    List<VersionSpec> versions,
    ReleaseSpec release,
    List<OrderSpec> orders,
    ZonesSpec zones) {

  /**
   * What operators say of places, which are the sites; null where none are known. Only where it is
   * {@code decided} do routers know of them; else the play shows what they do without. There is a
   * region for each site, or none where all are of one.
   */
  public record ZonesSpec(
      boolean decided,
      double each,
      double fetches,
      int reserve,
      long backWithin,
      double peak,
      List<String> regions) {}

  /** How routers agree; the times of {@link AgreementTiming}. */
  public record Agreement(long lease, double drift) {
    /** The times of the agreement. */
    public AgreementTiming timing() {
      return new AgreementTiming(lease, drift, APPLY);
    }
  }

  /**
   * A version that is proposed at a time, counted from the cue, or from the start where that is
   * null; {@code mostTries} 0 leaves that as it is. Of the {@code unsafe} classes nothing is to be
   * repeated; with {@code newest} nobody is to act on a list before the one that discovery has by
   * then; with {@code dies} the command that proposes it is killed as soon as the store has it.
   */
  public record VersionSpec(
      long at,
      Trigger after,
      String reason,
      List<String> out,
      int mostTries,
      List<String> unsafe,
      boolean newest,
      boolean dies) {}

  /** What is wrong with what is released. */
  public enum Harm {
    /** Nothing. */
    NONE,
    /** It ends at once. */
    CRASH,
    /** It never answers. */
    MUTE,
    /** It refuses, or fails, every request. */
    REFUSES,
    /** It is good for some seconds and then reaches no cache server any more; of routers only. */
    FADES,
    /**
     * It gets slow: a router after some good seconds, by its ways to cache servers; a cache server
     * from its start.
     */
    SLOWS,
    /** Its memory grows; of routers only. */
    LEAKS;

    private static final long STANDS_A_CHECK = 5_000_000_000L;

    /** So long a router with it is good where a scenario says nothing else, in nanoseconds. */
    long goodFor() {
      return this == FADES || this == SLOWS ? STANDS_A_CHECK : 0;
    }
  }

  /**
   * A release of the routers, or of the cache servers: their agents, processes too, restart them
   * with what has the harm, of routers some only once they were good for a while. Without waves the
   * usual ones are made; {@code begins} false leaves it to orders; {@code mostTries} over 0 has
   * settings go with it; {@code spare} and {@code cores} are what a site must be able to carry
   * without those that are out, {@code spare} below 0 for whatever. Soaks of a second need a larger
   * {@code worseMissed} than usual ones: who has just started misses more for a while.
   */
  public record ReleaseSpec(
      boolean caches,
      boolean begins,
      long at,
      Trigger after,
      int mostOut,
      int mostOutOfSite,
      List<List<String>> waves,
      long soak,
      int samples,
      double worse,
      long limit,
      long alone,
      Harm harm,
      long goodFor,
      int mostTries,
      int spare,
      double cores,
      double worseMissed) {
    /** Whether what is released harms its ways to cache servers after a while. */
    boolean spoilsLinks() {
      return !caches && (harm == Harm.FADES || harm == Harm.SLOWS);
    }

    /** Whether the first check can see what is wrong. */
    boolean seenAtOnce() {
      return harm != Harm.NONE && harm != Harm.LEAKS && !spoilsLinks();
    }
  }

  /**
   * An operator's order: halt, resume, back or abandon; drain, undrain or lost, of a part; budget,
   * which has so many out from then on; zone-drain and zone-free, whose part is a site.
   */
  public record OrderSpec(long at, Trigger after, String what, String part, int mostOut) {}

  /** As the plans of routers have it. */
  private static final double TRIAL = 0.01;

  private static final long APPLY = 500_000_000;

  /** What goes by a link passes two more threads and sockets than what does not. */
  private static final int LINKED = 3;

  private static final long SECOND = 1_000_000_000;

  /**
   * The cache servers: how many, where, and what each can do. They stand in the sites by turns; a
   * site that is named more than once has the more of them.
   */
  public record Fleet(int caches, List<String> sites, int cell, CacheServerSpec shape) {
    /** The sites, each once. */
    List<String> places() {
      return sites.stream().distinct().toList();
    }

    /** Names of the cache servers, place by place. */
    List<String> names() {
      return IntStream.range(0, caches).mapToObj(Scenario::cacheName).toList();
    }
  }

  /** What the settings tell a router, beside the classes. */
  public record Rules(
      int mostTries,
      boolean secondCopies,
      boolean cancel,
      long mostRetryAfter,
      long dialTimeout,
      long idle,
      long drainGrace,
      long answerSlack,
      long askWithin) {}

  /** Whether a class may run more than once, as the settings and as operators call it. */
  public enum Effect {
    /** Reads. */
    SAFE("read_like"),
    /** Writes whose repeats are discarded by their key. */
    KEYED("idempotency_key"),
    /** Writes that must never run twice. */
    UNSAFE("non_idempotent");

    private final String setting;

    Effect(String setting) {
      this.setting = setting;
    }

    /** The word of the settings. */
    public String setting() {
      return setting;
    }
  }

  /**
   * A class of request; {@code share} is its part of the traffic, {@code size} that of a value in
   * bytes.
   */
  public record Type(
      String name,
      Effect effect,
      double share,
      long work,
      int size,
      long aim,
      long deadline,
      double worth,
      long window,
      String scope) {}

  /**
   * A router: its name, its limits, its site, how far its wall clock is off, in nanoseconds, and
   * classes that it does not know, as an older build or another configuration would not.
   */
  public record RouterSpec(
      String name, int memoryMb, int sockets, String site, long clockOff, List<String> lacks) {}

  /**
   * A stream of requests; {@code classes} empty means all by their shares, {@code site} empty that
   * the front deals them to routers of all sites; else to those of that site while it knows of one
   * that is up.
   */
  public record Clients(
      double rate,
      List<String> classes,
      int keys,
      double skew,
      int retries,
      long backoff,
      double tryShare,
      long notice,
      long from,
      long to,
      String site,
      Conduct conduct) {}

  /**
   * How clients use their connections: so many commands at once on one of them at most; beside a
   * part of them one that is wrong; a part of what they write goes in pieces; a part of the
   * requests has 1 to 5 ms left; after a part of their writes they leave; and so many further
   * connections to each router say nothing, or only begin a command.
   */
  public record Conduct(
      int pipeline, double wrong, double pieces, double hasty, double leaves, int silent) {
    /** One command at a time, and nothing odd. */
    static final Conduct USUAL = new Conduct(1, 0, 0, 0, 0, 0);

    /** Whether connections carry one command at a time, as a whole. */
    boolean oneByOne() {
      return pipeline == 1 && wrong == 0 && pieces == 0 && leaves == 0;
    }
  }

  /**
   * A fault; {@code target} names cache servers or routers, and is empty for the origin, discovery
   * and the store; {@code way} is where a link leads to, else empty: {@code store}, {@code
   * discovery}, {@code caches} for all cache servers, or the site whose cache servers it leads to.
   * It begins {@code from} after the cue {@code after}, or after the start where that is null, and
   * ends {@code to} after the cue {@code until}, or after what its begin is counted from.
   */
  public record FaultSpec(
      Fault.Kind kind,
      List<String> target,
      double amount,
      long from,
      long to,
      String way,
      Trigger after,
      Trigger until) {}

  /** The class of that name. */
  Type type(String wanted) {
    return types.stream().filter(t -> t.name().equals(wanted)).findFirst().orElseThrow();
  }

  /** The number of the router of that name. */
  int router(String wanted) {
    return routers.stream().map(RouterSpec::name).toList().indexOf(wanted);
  }

  /** The site of the cache server at a place. */
  String site(int place) {
    return fleet.sites().get(place % fleet.sites().size());
  }

  /** Whether clients that say nothing take the places of others. */
  boolean crowded() {
    return clients.stream().anyMatch(c -> c.conduct().silent() > 0);
  }

  /** Whether routers are to reach cache servers by links, as a fault cuts some. */
  boolean linksToCaches() {
    return (release != null && release.spoilsLinks())
        || faults.stream()
            .anyMatch(
                f ->
                    f.kind() == Fault.Kind.SITE_CUT
                        || (f.kind().target() == Fault.Target.LINK
                            && !f.way().equals("store")
                            && !f.way().equals("discovery")));
  }

  /** The name of the cache server at a place. */
  static String cacheName(int place) {
    return "c" + (place + 1);
  }

  /** The surroundings that the scenario asks for. */
  public EmulatedFleet.Shape world() {
    List<EmulatedFleet.Member> members = new java.util.ArrayList<>();
    for (int place = 0; place < fleet.caches(); place++) {
      String site = site(place);
      int block = place / fleet.sites().size() / fleet.cell();
      members.add(
          new EmulatedFleet.Member(cacheName(place), site, "standin", block, 1, fleet.shape()));
    }
    return new EmulatedFleet.Shape(
        List.copyOf(members),
        origin,
        types.stream().map(Scenario::work).toList(),
        listLag,
        rules.drainGrace());
  }

  private static beaconturn.standin.WorkCost work(Type t) {
    return new beaconturn.standin.WorkCost(
        t.name(),
        t.work(),
        t.size(),
        t.effect() != Effect.SAFE,
        t.effect() == Effect.KEYED,
        t.window(),
        t.scope());
  }

  /**
   * What the account is judged by; on sockets each limit is {@code slack} longer, of sends by links
   * three times that.
   */
  public InvariantBounds terms(long slack) {
    Map<String, RequestClassBounds> known = new LinkedHashMap<>();
    for (Type t : types) {
      known.put(t.name(), new RequestClassBounds(repeatRule(t.effect()), t.scope(), t.window()));
    }
    CacheServerSpec shape = fleet.shape();
    long sendSlack = linksToCaches() ? LINKED * slack : slack;
    return new InvariantBounds(
        known,
        rules.mostTries(),
        rules.secondCopies(),
        rules.answerSlack() + slack,
        rules.drainGrace(),
        sendSlack,
        rules.askWithin(),
        shape.coldSpeedShare(),
        shape.warmUpNanos(),
        shape.overloadMultiple(),
        shape.overloadNanos(),
        agreement == null ? 0 : agreement.timing().maxStalenessNanos(),
        release == null ? null : releaseTerms(),
        zones == null
            ? null
            : new ZoneBounds(
                zones.decided(),
                routers.stream().map(RouterSpec::site).toList(),
                zones.backWithin(),
                TRIAL,
                zones.each(),
                zones.peak()));
  }

  private static RepeatRule repeatRule(Effect effect) {
    return switch (effect) {
      case SAFE -> RepeatRule.ALWAYS;
      case KEYED -> RepeatRule.DEDUPLICATED;
      case UNSAFE -> RepeatRule.NEVER;
    };
  }

  /**
   * A router that is gone by itself is seen to be once its lease has ended at the store and been
   * read; a halt binds whoever has not begun, and who has begun acts within the time of one call
   * and of a start.
   */
  private RolloutBounds releaseTerms() {
    AgreementTiming timing = agreement.timing();
    int first = release.waves().isEmpty() ? 1 : release.waves().get(0).size();
    Map<String, String> sites = new LinkedHashMap<>();
    parts().forEach(id -> sites.put(id, siteOf(id)));
    // A cache server's state is seen once the list has it, a router has told it and the driver read
    // it.
    long seenWithin =
        release.caches()
            ? listLag + 2 * timing.renewIntervalNanos() + 2 * APPLY
            : timing.storeLeaseSeconds() * SECOND + timing.renewIntervalNanos() + APPLY;
    return new RolloutBounds(
        release.caches(),
        sites,
        release.mostOut(),
        release.mostOutOfSite(),
        seenWithin,
        timing.requestTimeoutNanos() + APPLY,
        release.seenAtOnce() ? first : 0);
  }

  /** The names of all that may be released. */
  List<String> parts() {
    return release.caches() ? fleet.names() : routers.stream().map(RouterSpec::name).toList();
  }

  /** The site of a router or cache server. */
  String siteOf(String part) {
    int router = router(part);
    return router >= 0 ? routers.get(router).site() : site(place(part));
  }

  /** The place of the cache server of that name at the start. */
  static int place(String cache) {
    return Integer.parseInt(cache.substring(1)) - 1;
  }
}
