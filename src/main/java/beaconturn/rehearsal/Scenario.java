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
 * A rehearsal as described by a scenario file, with all defaults filled in. The times of clients,
 * faults, versions and commands count from the start of the rehearsal, when clients start to send.
 *
 * @param name the name in reports
 * @param about one line on what the scenario shows
 * @param seed the seed of all random choices
 * @param lengthNanos how long clients send
 * @param fleet the cache servers
 * @param origin the capacity of the origin
 * @param listLagNanos how long after a change discovery lists it
 * @param routingSettings the settings of all routers
 * @param requestClasses the request classes
 * @param routers the routers
 * @param clientStreams the streams of requests
 * @param faults the faults to inject
 * @param agreement how routers agree, or null if they share no state
 * @param versions the configuration versions to propose
 * @param release the release, or null
 * @param operatorCommands the commands of operators, other than proposals and the start of the
 *     release
 * @param zones the zones of the fleet and their limits, or null
 */
public record Scenario(
    String name,
    String about,
    long seed,
    long lengthNanos,
    Fleet fleet,
    OriginModel.Spec origin,
    long listLagNanos,
    RoutingSettings routingSettings,
    List<RequestClass> requestClasses,
    List<RouterSpec> routers,
    List<ClientStream> clientStreams,
    List<FaultSpec> faults,
    Agreement agreement,
    List<VersionSpec> versions,
    ReleaseSpec release,
    List<OperatorCommandSpec> operatorCommands,
    ZonesSpec zones) {

  /**
   * The zones of the fleet, which are its sites.
   *
   * @param planned whether routers are configured with the zones and follow a common plan of zone
   *     weights
   * @param serverRequestsPerSecond requests a second that one cache server carries
   * @param fetchesPerSecond requests a second that a change of the plan may move to cache servers
   *     that do not hold their keys
   * @param reservePermille thousandths of a zone's keys that its routers may send to the nearest
   *     other zone when they hold no lease on a plan
   * @param recoveryNanos how long after the last fault all keys are served in their own zone again
   * @param maxZoneLoad the maximal load of a zone in a second, as a multiple of its capacity
   * @param regions a region for each site, or none if all sites are in one region
   */
  public record ZonesSpec(
      boolean planned,
      double serverRequestsPerSecond,
      double fetchesPerSecond,
      int reservePermille,
      long recoveryNanos,
      double maxZoneLoad,
      List<String> regions) {}

  /** How routers agree; see {@link AgreementTiming}. */
  public record Agreement(long leaseNanos, double clockDrift) {
    /** Returns the timing of the agreement. */
    public AgreementTiming timing() {
      return new AgreementTiming(leaseNanos, clockDrift, APPLY_NANOS);
    }
  }

  /**
   * A configuration version that is proposed during the rehearsal.
   *
   * @param atNanos when it is proposed, counted from the trigger
   * @param after the trigger, or null for the start of the rehearsal
   * @param reason the reason given with the proposal
   * @param excludedServers cache servers that routers must not use
   * @param maxAttempts attempts of one request; 0 leaves the setting unchanged
   * @param unsafeClasses request classes that the version declares unsafe to repeat
   * @param requiresCurrentList whether routers must not act on an endpoint list older than the one
   *     that discovery has at the proposal
   * @param killsProposer whether the proposing command is killed as soon as the store has the
   *     proposal
   */
  public record VersionSpec(
      long atNanos,
      Trigger after,
      String reason,
      List<String> excludedServers,
      int maxAttempts,
      List<String> unsafeClasses,
      boolean requiresCurrentList,
      boolean killsProposer) {}

  /** The defect of the released variant; scenario files contain the constants in lower case. */
  public enum Defect {
    /** No defect. */
    NONE,
    /** The process exits at once. */
    CRASH,
    /** The process never responds. */
    MUTE,
    /** Each request is rejected by a router, or failed by a cache server. */
    REFUSES,
    /** A router loses its connections to cache servers after a healthy period. */
    FADES,
    /**
     * A router's links to cache servers become slow after a healthy period, or a cache server is
     * slow from its start.
     */
    SLOWS,
    /** A router's memory grows. */
    LEAKS;

    /** Long enough for a released router to pass its first check. */
    private static final long DEFAULT_HEALTHY_NANOS = 5_000_000_000L;

    /** Returns the default length of the healthy period of a router with this defect. */
    long defaultHealthyNanos() {
      return this == FADES || this == SLOWS ? DEFAULT_HEALTHY_NANOS : 0;
    }
  }

  /**
   * A release of routers or cache servers. Agents, which are processes of their own, restart the
   * instances with the released variant.
   *
   * @param ofCacheServers whether cache servers are released, otherwise routers
   * @param startsAutomatically whether the rehearsal starts the release; otherwise an operator
   *     command has to
   * @param atNanos when the release starts, counted from the trigger
   * @param after the trigger, or null for the start of the rehearsal
   * @param maxUnavailable how many instances may be out of service at once
   * @param maxUnavailablePerSite how many instances of one site may be out of service at once
   * @param waves the instances by wave; empty for the default waves
   * @param soakNanos how long an instance is observed once it is ready
   * @param minResponses how many responses of an instance a comparison needs
   * @param failedRegressionBound by how much the share of failed responses may exceed that of the
   *     peers
   * @param readyTimeoutNanos how long an instance may take to get ready
   * @param selfRollbackNanos how long without the store until an agent rolls back a failed instance
   *     by itself; 0 for never
   * @param defect the defect of the released variant
   * @param healthyNanos how long a released router works before its defect shows
   * @param maxAttempts attempts of one request in the configuration that is released too; 0 for
   *     none
   * @param toleratedFailures how many instances of a site may fail beside those that are out of
   *     service without overloading the rest; negative if the load is not checked
   * @param coresPerInstance processor cores that an instance may use; 0 for as many as it reports
   * @param missedRegressionBound by how much the share of cache misses may exceed that of the
   *     peers. A restarted cache server misses more for a while, so a soak of about a second needs
   *     a larger bound than usual.
   */
  public record ReleaseSpec(
      boolean ofCacheServers,
      boolean startsAutomatically,
      long atNanos,
      Trigger after,
      int maxUnavailable,
      int maxUnavailablePerSite,
      List<List<String>> waves,
      long soakNanos,
      int minResponses,
      double failedRegressionBound,
      long readyTimeoutNanos,
      long selfRollbackNanos,
      Defect defect,
      long healthyNanos,
      int maxAttempts,
      int toleratedFailures,
      double coresPerInstance,
      double missedRegressionBound) {
    /** Returns whether the defect cuts or slows a router's links to cache servers. */
    boolean degradesCacheLinks() {
      return !ofCacheServers && (defect == Defect.FADES || defect == Defect.SLOWS);
    }

    /** Returns whether the first check of a released instance detects the defect. */
    boolean isDetectedByFirstCheck() {
      return defect != Defect.NONE && defect != Defect.LEAKS && !degradesCacheLinks();
    }
  }

  /**
   * A command of an operator.
   *
   * @param atNanos when it is executed, counted from the trigger
   * @param after the trigger, or null for the start of the rehearsal
   * @param command the word of the command, such as {@code halt}, {@code drain}, {@code budget} or
   *     {@code zone-drain}
   * @param target the instance or site that the command is about; empty for commands about the
   *     release or the fleet
   * @param maxUnavailable the new disruption budget; only of {@code budget}
   */
  public record OperatorCommandSpec(
      long atNanos, Trigger after, String command, String target, int maxUnavailable) {}

  /** Share of requests that routers' plans send to other zones at all times. */
  private static final double TRIAL_SHARE = 0.01;

  private static final long APPLY_NANOS = 500_000_000;

  /** Attempts on links through fault proxies pass two more threads and sockets than others. */
  private static final int LINK_SLACK_FACTOR = 3;

  private static final long NANOS_PER_SECOND = 1_000_000_000;

  /**
   * The cache servers, which are assigned to the sites in turn.
   *
   * @param cacheServerCount how many there are
   * @param sites the sites; a site that is listed more than once gets as many more servers
   * @param serversPerCell how many cache servers of a site form a cell
   * @param serverSpec what each of them can do
   */
  public record Fleet(
      int cacheServerCount, List<String> sites, int serversPerCell, CacheServerSpec serverSpec) {
    /** Returns each site once. */
    List<String> distinctSites() {
      return sites.stream().distinct().toList();
    }

    /** Returns the names of the cache servers by index. */
    List<String> cacheServerNames() {
      return IntStream.range(0, cacheServerCount).mapToObj(Scenario::cacheServerName).toList();
    }
  }

  /**
   * The settings of routers, apart from the request classes.
   *
   * @param maxAttempts attempts of one request
   * @param hedgingAllowed whether a second attempt may be in flight while the first is
   * @param cancellationAllowed whether a router may cancel attempts at cache servers
   * @param maxRetryAfterNanos the longest retry delay that a rejection may state
   * @param connectTimeoutNanos timeout of connecting to a cache server
   * @param idleTimeoutNanos how long an idle connection stays open
   * @param drainGraceNanos how long after the notification a draining server may get new requests
   * @param responseSlackNanos how much later than its deadline a response may arrive
   * @param pollWithinNanos a router that does not poll for this long counts as notified
   */
  public record RoutingSettings(
      int maxAttempts,
      boolean hedgingAllowed,
      boolean cancellationAllowed,
      long maxRetryAfterNanos,
      long connectTimeoutNanos,
      long idleTimeoutNanos,
      long drainGraceNanos,
      long responseSlackNanos,
      long pollWithinNanos) {}

  /** Whether requests of a class may run more than once. */
  public enum Effect {
    /** Reads. */
    SAFE("read_like"),
    /** Writes whose repeats are discarded by their idempotency key. */
    KEYED("idempotency_key"),
    /** Writes that must not run more than once. */
    UNSAFE("non_idempotent");

    private final String settingName;

    Effect(String settingName) {
      this.settingName = settingName;
    }

    /** Returns the name in the settings of routers. */
    public String settingName() {
      return settingName;
    }
  }

  /**
   * A request class.
   *
   * @param name the name of the class
   * @param effect whether its requests may run more than once
   * @param trafficShare its share of the traffic, relative to the sum over all classes
   * @param workNanos mean work of a cache server on one request
   * @param valueBytes size of a value
   * @param latencyObjectiveNanos the latency objective
   * @param deadlineNanos the deadline of a request
   * @param priorityWeight the priority weight
   * @param deduplicationWindowNanos how long a cache server retains an idempotency key
   * @param deduplicationScope which cache servers discard each other's repeats: all, zone or cell
   */
  public record RequestClass(
      String name,
      Effect effect,
      double trafficShare,
      long workNanos,
      int valueBytes,
      long latencyObjectiveNanos,
      long deadlineNanos,
      double priorityWeight,
      long deduplicationWindowNanos,
      String deduplicationScope) {}

  /**
   * A router.
   *
   * @param name the name of the router
   * @param memoryMb its memory limit
   * @param maxSockets its limit of sockets
   * @param site the site where it runs
   * @param clockOffsetNanos by how much its wall clock is fast; negative if slow
   * @param unknownClasses request classes that its configuration lacks, as an older one would
   */
  public record RouterSpec(
      String name,
      int memoryMb,
      int maxSockets,
      String site,
      long clockOffsetNanos,
      List<String> unknownClasses) {}

  /**
   * A stream of requests.
   *
   * @param requestsPerSecond mean rate of requests, without retries
   * @param classNames the request classes; empty for all of them by their shares
   * @param keyCount how many keys there are
   * @param keySkew exponent of the Zipf distribution of keys
   * @param maxRetries retries of one request
   * @param backoffNanos minimal delay before a retry
   * @param attemptTimeoutShare timeout of an attempt as a share of the class's deadline
   * @param failureDetectionNanos how long the clients' front takes to avoid a killed router
   * @param fromNanos when the stream starts
   * @param toNanos when the stream ends
   * @param site the site whose routers get the requests unless all of them are avoided; empty for
   *     the routers of all sites
   * @param connectionUsage how the clients use connections
   */
  public record ClientStream(
      double requestsPerSecond,
      List<String> classNames,
      int keyCount,
      double keySkew,
      int maxRetries,
      long backoffNanos,
      double attemptTimeoutShare,
      long failureDetectionNanos,
      long fromNanos,
      long toNanos,
      String site,
      ConnectionUsage connectionUsage) {}

  /**
   * How clients use their connections.
   *
   * @param maxPipelined maximal number of commands in one batch on a connection
   * @param invalidCommandShare invalid commands, as a share of the valid ones
   * @param splitWriteShare share of batches that are written in several pieces
   * @param shortTimeoutShare share of requests whose attempts time out after 1 to 5 ms
   * @param disconnectShare share of batches after which the client closes the connection
   * @param silentConnections further connections to each router on which no complete command is
   *     sent
   */
  public record ConnectionUsage(
      int maxPipelined,
      double invalidCommandShare,
      double splitWriteShare,
      double shortTimeoutShare,
      double disconnectShare,
      int silentConnections) {
    /** One valid command at a time. */
    static final ConnectionUsage DEFAULT = new ConnectionUsage(1, 0, 0, 0, 0, 0);

    /** Returns whether each connection carries one complete, valid command at a time. */
    boolean isSequential() {
      return maxPipelined == 1
          && invalidCommandShare == 0
          && splitWriteShare == 0
          && disconnectShare == 0;
    }
  }

  /**
   * A fault that is injected for a period.
   *
   * @param kind the kind of the fault
   * @param targets names of the instances or sites that it affects; empty for the origin, discovery
   *     and the store
   * @param amount the factor, share, delay in nanoseconds, or number that the kind takes; 1 if it
   *     takes none
   * @param fromNanos when the fault starts, counted from the trigger {@code after}
   * @param toNanos when the fault ends, counted from the trigger {@code until}
   * @param linkDestination the destination of an affected link: {@code store}, {@code discovery},
   *     {@code caches} for all cache servers, or a site for its cache servers; empty for other
   *     faults
   * @param after the trigger of the start, or null for the start of the rehearsal
   * @param until the trigger of the end; if null, the end counts from the same time as the start
   */
  public record FaultSpec(
      Fault.Kind kind,
      List<String> targets,
      double amount,
      long fromNanos,
      long toNanos,
      String linkDestination,
      Trigger after,
      Trigger until) {}

  /** Returns the request class of that name. */
  RequestClass requestClass(String className) {
    return requestClasses.stream()
        .filter(requestClass -> requestClass.name().equals(className))
        .findFirst()
        .orElseThrow();
  }

  /** Returns the index of the router of that name, or -1. */
  int routerIndex(String routerName) {
    return routers.stream().map(RouterSpec::name).toList().indexOf(routerName);
  }

  /** Returns the site of the cache server with that index. */
  String siteOfCacheServer(int index) {
    return fleet.sites().get(index % fleet.sites().size());
  }

  /** Returns whether silent connections use up connections that routers could accept. */
  boolean hasSilentConnections() {
    return clientStreams.stream()
        .anyMatch(stream -> stream.connectionUsage().silentConnections() > 0);
  }

  /** Returns whether routers reach cache servers through fault proxies. */
  boolean needsCacheLinks() {
    return (release != null && release.degradesCacheLinks())
        || faults.stream()
            .anyMatch(
                fault ->
                    fault.kind() == Fault.Kind.SITE_CUT
                        || (fault.kind().target() == Fault.Target.LINK
                            && !fault.linkDestination().equals("store")
                            && !fault.linkDestination().equals("discovery")));
  }

  /** Returns the name of the cache server with that index. */
  static String cacheServerName(int index) {
    return "c" + (index + 1);
  }

  /** Returns the cache servers, origin and discovery that routers run against. */
  public EmulatedFleet.Spec emulatedFleetSpec() {
    List<EmulatedFleet.Member> members = new java.util.ArrayList<>();
    for (int index = 0; index < fleet.cacheServerCount(); index++) {
      String site = siteOfCacheServer(index);
      int block = index / fleet.sites().size() / fleet.serversPerCell();
      members.add(
          new EmulatedFleet.Member(
              cacheServerName(index), site, "standin", block, 1, fleet.serverSpec()));
    }
    return new EmulatedFleet.Spec(
        List.copyOf(members),
        origin,
        requestClasses.stream().map(Scenario::workCost).toList(),
        listLagNanos,
        routingSettings.drainGraceNanos());
  }

  private static beaconturn.standin.WorkCost workCost(RequestClass requestClass) {
    return new beaconturn.standin.WorkCost(
        requestClass.name(),
        requestClass.workNanos(),
        requestClass.valueBytes(),
        requestClass.effect() != Effect.SAFE,
        requestClass.effect() == Effect.KEYED,
        requestClass.deduplicationWindowNanos(),
        requestClass.deduplicationScope());
  }

  /**
   * Returns the bounds that the invariants hold the history to.
   *
   * @param slackNanos allowance for sockets; that of attempts is larger if routers reach cache
   *     servers through fault proxies
   */
  public InvariantBounds invariantBounds(long slackNanos) {
    Map<String, RequestClassBounds> classBounds = new LinkedHashMap<>();
    for (RequestClass requestClass : requestClasses) {
      classBounds.put(
          requestClass.name(),
          new RequestClassBounds(
              repeatRule(requestClass.effect()),
              requestClass.deduplicationScope(),
              requestClass.deduplicationWindowNanos()));
    }
    CacheServerSpec serverSpec = fleet.serverSpec();
    long sendSlackNanos = needsCacheLinks() ? LINK_SLACK_FACTOR * slackNanos : slackNanos;
    return new InvariantBounds(
        classBounds,
        routingSettings.maxAttempts(),
        routingSettings.hedgingAllowed(),
        routingSettings.responseSlackNanos() + slackNanos,
        routingSettings.drainGraceNanos(),
        sendSlackNanos,
        routingSettings.pollWithinNanos(),
        serverSpec.coldSpeedShare(),
        serverSpec.warmUpNanos(),
        serverSpec.overloadMultiple(),
        serverSpec.overloadNanos(),
        agreement == null ? 0 : agreement.timing().maxStalenessNanos(),
        release == null ? null : rolloutBounds(),
        zones == null
            ? null
            : new ZoneBounds(
                zones.planned(),
                routers.stream().map(RouterSpec::site).toList(),
                zones.recoveryNanos(),
                TRIAL_SHARE,
                zones.serverRequestsPerSecond(),
                zones.maxZoneLoad()));
  }

  private static RepeatRule repeatRule(Effect effect) {
    return switch (effect) {
      case SAFE -> RepeatRule.ALWAYS;
      case KEYED -> RepeatRule.DEDUPLICATED;
      case UNSAFE -> RepeatRule.NEVER;
    };
  }

  /**
   * Returns the bounds of the release. The driver notices that a router is gone once its lease has
   * expired at the store and the expiry has been read. After a halt a step may still start within
   * the time of one request to the store and of applying its result.
   */
  private RolloutBounds rolloutBounds() {
    AgreementTiming timing = agreement.timing();
    int firstWaveSize = release.waves().isEmpty() ? 1 : release.waves().get(0).size();
    Map<String, String> sitesByInstance = new LinkedHashMap<>();
    releasableInstances().forEach(instance -> sitesByInstance.put(instance, siteOf(instance)));
    // The driver notices a cache server's state once discovery lists it, a router has reported it
    // and the driver has read the report.
    long noticedWithinNanos =
        release.ofCacheServers()
            ? listLagNanos + 2 * timing.renewIntervalNanos() + 2 * APPLY_NANOS
            : timing.storeLeaseSeconds() * NANOS_PER_SECOND
                + timing.renewIntervalNanos()
                + APPLY_NANOS;
    return new RolloutBounds(
        release.ofCacheServers(),
        sitesByInstance,
        release.maxUnavailable(),
        release.maxUnavailablePerSite(),
        noticedWithinNanos,
        timing.requestTimeoutNanos() + APPLY_NANOS,
        release.isDetectedByFirstCheck() ? firstWaveSize : 0);
  }

  /** Returns the names of the instances that the release is about. */
  List<String> releasableInstances() {
    return release.ofCacheServers()
        ? fleet.cacheServerNames()
        : routers.stream().map(RouterSpec::name).toList();
  }

  /** Returns the site of a router or cache server. */
  String siteOf(String instance) {
    int router = routerIndex(instance);
    return router >= 0 ? routers.get(router).site() : siteOfCacheServer(cacheServerIndex(instance));
  }

  /** Returns the index of the cache server of that name. */
  static int cacheServerIndex(String serverName) {
    return Integer.parseInt(serverName.substring(1)) - 1;
  }
}
