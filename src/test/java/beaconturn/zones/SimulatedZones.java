package beaconturn.zones;

import beaconturn.agreement.AgreementException;
import beaconturn.agreement.AgreementTiming;
import beaconturn.agreement.StoreModelClient;
import beaconturn.agreement.StoreRequest;
import beaconturn.agreement.StoreResponse;
import beaconturn.agreement.TraceText;
import beaconturn.standin.EventScheduler;
import beaconturn.standin.store.StoreModel;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * Simulates the routers of several zones with a store, in virtual time. Each router receives
 * requests at a given rate and distributes them by its effective allocation; tests set which share
 * of them fails and how long they take. In each step, the requests of all routers are added up by
 * zone.
 */
final class SimulatedZones {
  static final long MILLI_NANOS = 1_000_000;
  static final long SECOND_NANOS = 1000 * MILLI_NANOS;
  private static final AgreementTiming TIMING =
      new AgreementTiming(2 * SECOND_NANOS, 0.02, 500 * MILLI_NANOS);
  private final AgreementTiming timing;
  private static final ZonesKeys KEYS = new ZonesKeys("/fleet");
  private static final long STEP_NANOS = 50 * MILLI_NANOS;

  /** Interval at which routers evaluate zones under the policies without coordination. */
  private static final long EVALUATION_INTERVAL_NANOS = SECOND_NANOS;

  private static final int SERVERS_PER_ZONE = 10;
  final EventScheduler scheduler = new EventScheduler(0);
  final ZoneTopology topology;
  final SortedMap<String, SimulatedZone> zones = new TreeMap<>();
  final List<SimulatedRouter> routers = new ArrayList<>();
  final List<String> log = new ArrayList<>();

  /** Receives each request and response of every member, as text. */
  Consumer<String> trace = line -> {};

  final Random random;
  private static final double OVERLOAD_RATIO = 1.05;
  private static final long MAX_OVERLOAD_NANOS = 8 * SECOND_NANOS;
  Policy policy = Policy.COORDINATED;

  /** Whether requests arrive in a Poisson process instead of evenly. */
  boolean poissonArrivals;

  /** Description of the first overload of a zone by other zones, or null. */
  String overload;

  private final StoreModel store;

  /** How routers choose zones. */
  enum Policy {
    /** By the leader's plan. */
    COORDINATED,
    /** Each router by itself: the nearest zone that it sees as healthy. */
    PRIORITY,
    /** Each router by itself: a ring of the cache servers of all zones that it sees as healthy. */
    RING
  }

  /** A zone with its cache servers. */
  final class SimulatedZone {
    final String name;
    int listedServers;
    int warmServers;
    boolean unavailable;
    double serverRequestsPerSecond;

    /** Requests sent to the zone in the current step. */
    double sentInStep;

    /** Largest request rate of a step since the last call of {@link #peakUtilization}. */
    double peakPerSecond;

    private long overloadedNanos;

    /** Upper limit of the share of attempts that fails at random in a step. */
    double maxRandomFailureShare;

    /** Share of attempts that always fails. */
    double failureShare;

    /** Duration of a successful attempt. */
    long responseMicros = 1000;

    private double servedShare;

    private SimulatedZone(String name, int servers, double serverRequestsPerSecond) {
      this.name = name;
      this.listedServers = servers;
      this.warmServers = servers;
      this.serverRequestsPerSecond = serverRequestsPerSecond;
    }

    double capacity() {
      return unavailable ? 0 : warmServers * serverRequestsPerSecond;
    }

    /** Returns the share of the requests of the current step that is served. */
    private double sampleServedShare() {
      double demand = sentInStep * SECOND_NANOS / STEP_NANOS;
      return demand <= capacity()
          ? unavailable ? 0 : 1 - failureShare - maxRandomFailureShare * random.nextDouble()
          : capacity() / demand;
    }
  }

  /** A router with its zone member. */
  final class SimulatedRouter implements ZoneReportSource {
    final String name;
    final String home;
    double requestsPerSecond;
    boolean storeUnreachable;
    boolean down;

    /**
     * How the reports of the router are false: all attempts "bad", all "good", all servers
     * "ejected", or "stuck" at the first report; empty if the reports are correct.
     */
    String falseReports = "";

    final List<String> unreachableZones = new ArrayList<>();
    private final SortedMap<String, double[]> counts = new TreeMap<>();
    private final SortedMap<String, double[]> evaluatedCounts = new TreeMap<>();
    private final SortedMap<String, Long> successMicros = new TreeMap<>();
    private final Map<String, Boolean> seenHealthy = new TreeMap<>();
    private final Map<String, Long> unhealthyAtNanos = new TreeMap<>();
    private long evaluatedAtNanos;
    private ZoneAllocation allocation;
    private double arrivedInStep;
    private double arrivals;
    double sentElsewhere;
    double servedRequests;
    double rejectedRequests;
    ZoneMember member;
    private ZoneReport firstReport;
    private int incarnation;

    private SimulatedRouter(String name, String home, double requestsPerSecond) {
      this.name = name;
      this.home = home;
      this.requestsPerSecond = requestsPerSecond;
      zones
          .keySet()
          .forEach(
              zone -> {
                successMicros.put(zone, 0L);
                counts.put(zone, new double[2]);
                evaluatedCounts.put(zone, new double[2]);
              });
    }

    void start() {
      int started = ++incarnation;
      down = false;
      counts.values().forEach(c -> java.util.Arrays.fill(c, 0));
      evaluatedCounts.values().forEach(c -> java.util.Arrays.fill(c, 0));
      member =
          new ZoneMember(
              KEYS,
              topology,
              timing,
              home,
              name + "/" + started,
              random.nextLong(),
              scheduler.now(),
              this,
              line -> log.add(scheduler.now() / MILLI_NANOS + " " + name + " " + line));
      driveMember(started);
    }

    void kill() {
      incarnation++;
      down = true;
    }

    private void driveMember(int started) {
      if (started != incarnation) {
        return;
      }
      member.refresh(scheduler.now());
      StoreRequest request = member.nextRequest(scheduler.now());
      trace.accept(scheduler.now() + " " + name + " asks " + TraceText.of(request));
      if (request == null) {
        trace.accept("until " + member.nextRequestAtNanos());
        scheduler.in(
            Math.max(
                MILLI_NANOS,
                Math.min(100 * MILLI_NANOS, member.nextRequestAtNanos() - scheduler.now())),
            () -> driveMember(started));
        return;
      }
      long latencyNanos = MILLI_NANOS + random.nextInt(10) * MILLI_NANOS;
      boolean delivered = !storeUnreachable;
      scheduler.in(
          latencyNanos,
          () -> {
            StoreResponse response = delivered ? StoreModelClient.of(store, request) : null;
            scheduler.in(
                delivered ? latencyNanos : timing.requestTimeoutNanos() - latencyNanos,
                () -> {
                  if (started == incarnation) {
                    trace.accept(scheduler.now() + " " + name + " hears " + TraceText.of(response));
                    member.handleResponse(
                        scheduler.now(),
                        response != null && !storeUnreachable
                            ? response
                            : new StoreResponse.RequestFailed("no answer in time"));
                    driveMember(started);
                  }
                });
          });
    }

    @Override
    public ZoneReport report(String router, long sequenceNumber, long planNumber) {
      SortedMap<String, ZoneObservations> observations = new TreeMap<>();
      zones.forEach(
          (zoneName, zone) -> {
            long successes = (long) counts.get(zoneName)[0];
            long failures = (long) counts.get(zoneName)[1];
            observations.put(
                zoneName,
                falseReports.equals("bad")
                    ? new ZoneObservations(
                        0, successes + failures, 0, zone.listedServers, 0, zone.listedServers)
                    : falseReports.equals("good")
                        ? new ZoneObservations(
                            successes + failures, 0, 0, zone.listedServers, zone.listedServers, 0)
                        : new ZoneObservations(
                            successes,
                            failures,
                            successMicros.get(zoneName),
                            zone.listedServers,
                            zone.warmServers,
                            falseReports.equals("ejected") ? zone.listedServers : 0));
          });
      ZoneReport report =
          new ZoneReport(router, home, sequenceNumber, planNumber, (long) arrivals, observations);
      firstReport = firstReport == null ? report : firstReport;
      return falseReports.equals("stuck") ? firstReport : report;
    }

    /** Sends the requests of one step to the zones of the allocation. */
    private void send(double seconds) {
      allocation =
          down
              ? new ZoneAllocation(Map.of())
              : switch (policy) {
                case COORDINATED -> member.allocationAt(scheduler.now()).allocation();
                case PRIORITY -> priorityAllocation();
                case RING -> ringAllocation();
              };
      arrivedInStep = sampleArrivals(requestsPerSecond * seconds);
      allocation
          .weights()
          .forEach(
              (zone, weight) -> {
                if (!unreachableZones.contains(zone)) {
                  zones.get(zone).sentInStep +=
                      arrivedInStep * weight / ZoneAllocation.TOTAL_WEIGHT;
                }
              });
    }

    /** Counts the outcomes of the requests of one step. */
    private void recordOutcomes() {
      if (down) {
        return;
      }
      arrivals += arrivedInStep;
      allocation
          .weights()
          .forEach(
              (zoneName, weight) -> {
                double sent = arrivedInStep * weight / ZoneAllocation.TOTAL_WEIGHT;
                SimulatedZone zone = zones.get(zoneName);
                double servedShare =
                    zone.listedServers > 0 && !unreachableZones.contains(zoneName)
                        ? zone.servedShare
                        : 0;
                counts.get(zoneName)[0] += zone.listedServers > 0 ? sent * servedShare : 0;
                successMicros.merge(
                    zoneName, (long) (sent * servedShare * zone.responseMicros), Long::sum);
                counts.get(zoneName)[1] += zone.listedServers > 0 ? sent * (1 - servedShare) : 0;
                servedRequests += sent * servedShare;
                sentElsewhere += zoneName.equals(home) ? 0 : sent;
              });
      rejectedRequests +=
          arrivedInStep
              * (ZoneAllocation.TOTAL_WEIGHT - allocation.totalWeight())
              / ZoneAllocation.TOTAL_WEIGHT;
      if (scheduler.now() - evaluatedAtNanos >= EVALUATION_INTERVAL_NANOS) {
        evaluatedAtNanos = scheduler.now();
        counts.forEach(
            (zone, c) -> {
              double[] since = {
                c[0] - evaluatedCounts.get(zone)[0], c[1] - evaluatedCounts.get(zone)[1]
              };
              // A zone that receives no requests counts as healthy again after two intervals.
              seenHealthy.put(
                  zone,
                  since[0] + since[1] > 0
                      ? since[0] >= since[1]
                      : scheduler.now() - unhealthyAtNanos.getOrDefault(zone, 0L)
                          > 2 * EVALUATION_INTERVAL_NANOS);
              if (since[1] > since[0]) {
                unhealthyAtNanos.put(zone, scheduler.now());
              }
              evaluatedCounts.put(zone, c.clone());
            });
      }
    }

    private ZoneAllocation priorityAllocation() {
      List<String> candidates = new ArrayList<>(List.of(home));
      candidates.addAll(topology.othersByDistance(home));
      return new ZoneAllocation(
          Map.of(
              candidates.stream()
                  .filter(zone -> seenHealthy.getOrDefault(zone, true))
                  .findFirst()
                  .orElse(home),
              ZoneAllocation.TOTAL_WEIGHT));
    }

    private ZoneAllocation ringAllocation() {
      List<SimulatedZone> healthy =
          zones.values().stream()
              .filter(zone -> seenHealthy.getOrDefault(zone.name, true))
              .toList();
      List<SimulatedZone> members = healthy.isEmpty() ? List.copyOf(zones.values()) : healthy;
      int servers = members.stream().mapToInt(zone -> zone.listedServers).sum();
      Map<String, Integer> weights = new java.util.LinkedHashMap<>();
      members.forEach(
          zone ->
              weights.put(zone.name, ZoneAllocation.TOTAL_WEIGHT * zone.listedServers / servers));
      return new ZoneAllocation(weights);
    }
  }

  /**
   * Creates zones with ten cache servers each.
   *
   * @param routersPerZone number of routers in each zone
   * @param routerPerSecond requests per second that each router receives
   * @param serverPerSecond requests per second that each cache server can serve
   */
  SimulatedZones(
      long seed,
      Map<String, String> regions,
      int routersPerZone,
      double routerPerSecond,
      double serverPerSecond) {
    this(seed, regions, routersPerZone, routerPerSecond, serverPerSecond, TIMING);
  }

  SimulatedZones(
      long seed,
      Map<String, String> regions,
      int routersPerZone,
      double routerPerSecond,
      double serverPerSecond,
      AgreementTiming timing) {
    this.timing = timing;
    this.random = new Random(seed);
    this.topology = new ZoneTopology(new TreeMap<>(regions), serverPerSecond, 1e6, 50);
    this.store = new StoreModel(scheduler, 7, (at, revision, key, value) -> {});
    for (String zone : topology.zones()) {
      zones.put(zone, new SimulatedZone(zone, SERVERS_PER_ZONE, serverPerSecond));
    }
    for (String zone : topology.zones()) {
      for (int i = 0; i < routersPerZone; i++) {
        routers.add(new SimulatedRouter(zone + i, zone, routerPerSecond));
      }
    }
    routers.forEach(SimulatedRouter::start);
    scheduler.in(STEP_NANOS, this::step);
  }

  private void step() {
    zones.values().forEach(zone -> zone.sentInStep = 0);
    routers.forEach(router -> router.send(STEP_NANOS / (double) SECOND_NANOS));
    zones.values().forEach(zone -> zone.servedShare = zone.sampleServedShare());
    routers.forEach(SimulatedRouter::recordOutcomes);
    zones.values().forEach(this::checkOverload);
    zones
        .values()
        .forEach(
            zone ->
                zone.peakPerSecond =
                    Math.max(zone.peakPerSecond, zone.sentInStep * SECOND_NANOS / STEP_NANOS));
    scheduler.in(STEP_NANOS, this::step);
  }

  /** Returns the expected number of arrivals, or a Poisson sample of it. */
  private double sampleArrivals(double expected) {
    if (!poissonArrivals) {
      return expected;
    }
    int count = 0;
    for (double left = -StrictMath.log(1 - random.nextDouble());
        left < expected;
        left -= StrictMath.log(1 - random.nextDouble())) {
      count++;
    }
    return count;
  }

  /**
   * Records an overload by other zones: a zone could serve its own demand, but is sent more than
   * its capacity for longer than it takes to detect the overload and to replace the plan.
   */
  private void checkOverload(SimulatedZone zone) {
    double ownDemand =
        routersOf(zone.name).stream()
            .filter(router -> !router.down)
            .mapToDouble(router -> router.requestsPerSecond)
            .sum();
    boolean overloaded =
        !zone.unavailable
            && ownDemand <= zone.capacity()
            && zone.sentInStep * SECOND_NANOS / STEP_NANOS > OVERLOAD_RATIO * zone.capacity();
    zone.overloadedNanos = overloaded ? zone.overloadedNanos + STEP_NANOS : 0;
    if (zone.overloadedNanos > MAX_OVERLOAD_NANOS && overload == null) {
      overload =
          zone.name
              + " was sent "
              + zone.sentInStep * SECOND_NANOS / STEP_NANOS
              + " requests per second with a capacity of "
              + zone.capacity()
              + " at "
              + scheduler.now() / MILLI_NANOS
              + " ms";
    }
  }

  void run(long nanos) {
    scheduler.advance(scheduler.now() + nanos);
  }

  ZonesAdmin admin() {
    return new ZonesAdmin(KEYS, topology, request -> StoreModelClient.of(store, request));
  }

  ZonePlan plan() {
    try {
      ZonePlan stored = admin().readSnapshot().plan();
      return stored == null ? ZonePlan.initial(topology) : stored;
    } catch (AgreementException e) {
      throw new IllegalStateException(e);
    }
  }

  List<SimulatedRouter> routersOf(String zone) {
    return routers.stream().filter(router -> router.home.equals(zone)).toList();
  }

  /** Runs for the given time and returns the share of a zone's requests that was served. */
  double servedShare(String zone, long nanos) {
    double before = routersOf(zone).stream().mapToDouble(router -> router.servedRequests).sum();
    double demand =
        routersOf(zone).stream()
                .filter(router -> !router.down)
                .mapToDouble(router -> router.requestsPerSecond)
                .sum()
            * nanos
            / SECOND_NANOS;
    run(nanos);
    return (routersOf(zone).stream().mapToDouble(router -> router.servedRequests).sum() - before)
        / demand;
  }

  /** Returns the largest utilization of a zone in a step since the last call. */
  double peakUtilization(String zoneName) {
    SimulatedZone zone = zones.get(zoneName);
    double peakPerSecond = zone.peakPerSecond;
    zone.peakPerSecond = 0;
    return peakPerSecond / zone.capacity();
  }

  String logText() {
    return String.join("\n", log);
  }
}
