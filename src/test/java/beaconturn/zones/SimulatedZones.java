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
 * Routers of several places before a store, in virtual time. Each router takes so many requests a
 * second and sends them by the row that is due; what a place makes of them is the test's. Everybody
 * sends all the time, and what all send to a place together is added up.
 */
final class SimulatedZones {
  static final long MILLI = 1_000_000;
  static final long SECOND = 1000 * MILLI;
  private static final AgreementTiming TIMING = new AgreementTiming(2 * SECOND, 0.02, 500 * MILLI);
  private final AgreementTiming timing;
  private static final ZonesKeys KEYS = new ZonesKeys("/fleet");
  private static final long ACT_EVERY = 50 * MILLI;

  /** Who decides for itself looks at what it saw for so long. */
  private static final long LOOK_EVERY = SECOND;

  private static final int FULL = 10;
  final EventScheduler scheduler = new EventScheduler(0);
  final ZoneTopology topology;
  final SortedMap<String, SimulatedZone> simulatedZones = new TreeMap<>();
  final List<SimulatedRouter> simulatedRouters = new ArrayList<>();
  final List<String> log = new ArrayList<>();

  /** Hears each request and answer of every member, as text. */
  Consumer<String> trace = line -> {};

  final Random random;
  private static final double PUSHED = 1.05;
  private static final long PUSHED_FOR = 8 * SECOND;
  Policy policy = Policy.COMMON;

  /** Whether requests come by chance, and not evenly. */
  boolean byChance;

  /** The first time that others pushed a place over, in words, or null. */
  String pushed;

  private final StoreModel store;

  /** What routers send by. */
  enum Policy {
    /** What is decided in common. */
    COMMON,
    /** Each for itself, to the nearest place that it finds good: priority levels. */
    PRIORITY,
    /**
     * Each for itself, over all cache servers of places that it finds good: the ring without
     * places.
     */
    RING
  }

  /** A place: its cache servers, and how each router finds them. */
  final class SimulatedZone {
    final String name;
    int listed;
    int warm;
    boolean bad;
    double each;

    /** Sent there in this step, and the most that was in one of the last second. */
    double sent;

    double most;
    private long over;

    /** Up to such a part fails by chance. */
    double noise;

    /** Such a part fails. */
    double fails;

    /** What a good answer takes. */
    long micros = 1000;

    private double part;

    private SimulatedZone(String name, int servers, double each) {
      this.name = name;
      this.listed = servers;
      this.warm = servers;
      this.each = each;
    }

    double capacity() {
      return bad ? 0 : warm * each;
    }

    /** What part of what was sent there in this step is served. */
    private double fine() {
      double wanted = sent * SECOND / ACT_EVERY;
      return wanted <= capacity()
          ? bad ? 0 : 1 - fails - noise * random.nextDouble()
          : capacity() / wanted;
    }
  }

  /** A router. */
  final class SimulatedRouter implements ZoneReportSource {
    final String name;
    final String home;
    double perSecond;
    boolean cut;
    boolean down;

    /** Finds all bad whatever it is, all good, all ejected, or tells always the same. */
    String lies = "";

    final List<String> unreachable = new ArrayList<>();
    private final SortedMap<String, double[]> counts = new TreeMap<>();
    private final SortedMap<String, double[]> seen = new TreeMap<>();
    private final SortedMap<String, Long> took = new TreeMap<>();
    private final Map<String, Boolean> finds = new TreeMap<>();
    private final Map<String, Long> badAt = new TreeMap<>();
    private long lookedAt;
    private ZoneAllocation row;
    private double came;
    private double arrivals;
    double crossed;
    double served;
    double refused;
    ZoneMember member;
    private ZoneReport stuck;
    private int life;

    private SimulatedRouter(String name, String home, double perSecond) {
      this.name = name;
      this.home = home;
      this.perSecond = perSecond;
      simulatedZones
          .keySet()
          .forEach(
              p -> {
                took.put(p, 0L);
                counts.put(p, new double[2]);
                seen.put(p, new double[2]);
              });
    }

    void start() {
      int born = ++life;
      down = false;
      counts.values().forEach(c -> java.util.Arrays.fill(c, 0));
      seen.values().forEach(c -> java.util.Arrays.fill(c, 0));
      member =
          new ZoneMember(
              KEYS,
              topology,
              timing,
              home,
              name + "/" + born,
              random.nextLong(),
              scheduler.now(),
              this,
              line -> log.add(scheduler.now() / MILLI + " " + name + " " + line));
      step(born);
    }

    void die() {
      life++;
      down = true;
    }

    private void step(int born) {
      if (born != life) {
        return;
      }
      member.refresh(scheduler.now());
      StoreRequest call = member.nextRequest(scheduler.now());
      trace.accept(scheduler.now() + " " + name + " asks " + TraceText.of(call));
      if (call == null) {
        trace.accept("until " + member.nextRequestAtNanos());
        scheduler.in(
            Math.max(MILLI, Math.min(100 * MILLI, member.nextRequestAtNanos() - scheduler.now())),
            () -> step(born));
        return;
      }
      long way = MILLI + random.nextInt(10) * MILLI;
      boolean heard = !cut;
      scheduler.in(
          way,
          () -> {
            StoreResponse answer = heard ? StoreModelClient.of(store, call) : null;
            scheduler.in(
                heard ? way : timing.requestTimeoutNanos() - way,
                () -> {
                  if (born == life) {
                    trace.accept(scheduler.now() + " " + name + " hears " + TraceText.of(answer));
                    member.handleResponse(
                        scheduler.now(),
                        answer != null && !cut
                            ? answer
                            : new StoreResponse.RequestFailed("no answer in time"));
                    step(born);
                  }
                });
          });
    }

    @Override
    public ZoneReport report(String router, long number, long plan) {
      SortedMap<String, ZoneObservations> places = new TreeMap<>();
      simulatedZones.forEach(
          (p, simulatedZone) -> {
            long good = (long) counts.get(p)[0];
            long bad = (long) counts.get(p)[1];
            places.put(
                p,
                lies.equals("bad")
                    ? new ZoneObservations(
                        0, good + bad, 0, simulatedZone.listed, 0, simulatedZone.listed)
                    : lies.equals("good")
                        ? new ZoneObservations(
                            good + bad, 0, 0, simulatedZone.listed, simulatedZone.listed, 0)
                        : new ZoneObservations(
                            good,
                            bad,
                            took.get(p),
                            simulatedZone.listed,
                            simulatedZone.warm,
                            lies.equals("ejected") ? simulatedZone.listed : 0));
          });
      ZoneReport report = new ZoneReport(router, home, number, plan, (long) arrivals, places);
      stuck = stuck == null ? report : stuck;
      return lies.equals("stuck") ? stuck : report;
    }

    /** Chooses where to, and adds it to what is sent there. */
    private void send(double seconds) {
      row =
          down
              ? new ZoneAllocation(Map.of())
              : switch (policy) {
                case COMMON -> member.allocationAt(scheduler.now()).allocation();
                case PRIORITY -> priority();
                case RING -> ring();
              };
      came = arrive(perSecond * seconds);
      row.weights()
          .forEach(
              (p, part) -> {
                if (!unreachable.contains(p)) {
                  simulatedZones.get(p).sent += came * part / ZoneAllocation.TOTAL_WEIGHT;
                }
              });
    }

    /** Learns what became of it. */
    private void learn() {
      if (down) {
        return;
      }
      arrivals += came;
      row.weights()
          .forEach(
              (p, part) -> {
                double sent = came * part / ZoneAllocation.TOTAL_WEIGHT;
                SimulatedZone simulatedZone = simulatedZones.get(p);
                double fine =
                    simulatedZone.listed > 0 && !unreachable.contains(p) ? simulatedZone.part : 0;
                counts.get(p)[0] += simulatedZone.listed > 0 ? sent * fine : 0;
                took.merge(p, (long) (sent * fine * simulatedZone.micros), Long::sum);
                counts.get(p)[1] += simulatedZone.listed > 0 ? sent * (1 - fine) : 0;
                served += sent * fine;
                crossed += p.equals(home) ? 0 : sent;
              });
      refused +=
          came * (ZoneAllocation.TOTAL_WEIGHT - row.totalWeight()) / ZoneAllocation.TOTAL_WEIGHT;
      if (scheduler.now() - lookedAt >= LOOK_EVERY) {
        lookedAt = scheduler.now();
        counts.forEach(
            (p, c) -> {
              double[] since = {c[0] - seen.get(p)[0], c[1] - seen.get(p)[1]};
              // What it does not send to it tries again after a while.
              finds.put(
                  p,
                  since[0] + since[1] > 0
                      ? since[0] >= since[1]
                      : scheduler.now() - badAt.getOrDefault(p, 0L) > 2 * LOOK_EVERY);
              if (since[1] > since[0]) {
                badAt.put(p, scheduler.now());
              }
              seen.put(p, c.clone());
            });
      }
    }

    private ZoneAllocation priority() {
      List<String> all = new ArrayList<>(List.of(home));
      all.addAll(topology.othersByDistance(home));
      return new ZoneAllocation(
          Map.of(
              all.stream().filter(p -> finds.getOrDefault(p, true)).findFirst().orElse(home),
              ZoneAllocation.TOTAL_WEIGHT));
    }

    private ZoneAllocation ring() {
      List<SimulatedZone> good =
          simulatedZones.values().stream().filter(s -> finds.getOrDefault(s.name, true)).toList();
      List<SimulatedZone> those = good.isEmpty() ? List.copyOf(simulatedZones.values()) : good;
      int servers = those.stream().mapToInt(s -> s.listed).sum();
      Map<String, Integer> parts = new java.util.LinkedHashMap<>();
      those.forEach(s -> parts.put(s.name, ZoneAllocation.TOTAL_WEIGHT * s.listed / servers));
      return new ZoneAllocation(parts);
    }
  }

  /**
   * So many routers in each place, each of which takes so many requests a second; ten cache servers
   * each.
   */
  SimulatedZones(
      long seed, Map<String, String> regions, int routers, double perSecond, double each) {
    this(seed, regions, routers, perSecond, each, TIMING);
  }

  SimulatedZones(
      long seed,
      Map<String, String> regions,
      int routers,
      double perSecond,
      double each,
      AgreementTiming timing) {
    this.timing = timing;
    this.random = new Random(seed);
    this.topology = new ZoneTopology(new TreeMap<>(regions), each, 1e6, 50);
    this.store = new StoreModel(scheduler, 7, (at, revision, key, value) -> {});
    for (String place : topology.zones()) {
      simulatedZones.put(place, new SimulatedZone(place, FULL, each));
    }
    for (String place : topology.zones()) {
      for (int i = 0; i < routers; i++) {
        simulatedRouters.add(new SimulatedRouter(place + i, place, perSecond));
      }
    }
    simulatedRouters.forEach(SimulatedRouter::start);
    scheduler.in(ACT_EVERY, this::acting);
  }

  private void acting() {
    simulatedZones.values().forEach(s -> s.sent = 0);
    simulatedRouters.forEach(s -> s.send(ACT_EVERY / (double) SECOND));
    simulatedZones.values().forEach(s -> s.part = s.fine());
    simulatedRouters.forEach(SimulatedRouter::learn);
    simulatedZones.values().forEach(this::watch);
    simulatedZones.values().forEach(s -> s.most = Math.max(s.most, s.sent * SECOND / ACT_EVERY));
    scheduler.in(ACT_EVERY, this::acting);
  }

  /** As many as are expected, or, by chance, about as many. */
  private double arrive(double expected) {
    if (!byChance) {
      return expected;
    }
    int count = 0;
    for (double left = -Math.log(1 - random.nextDouble());
        left < expected;
        left -= Math.log(1 - random.nextDouble())) {
      count++;
    }
    return count;
  }

  /**
   * Whether others push a place over: it could do what its own want, and all together send it more
   * for longer than it takes to see that and to leave the plan.
   */
  private void watch(SimulatedZone simulatedZone) {
    double own =
        of(simulatedZone.name).stream().filter(s -> !s.down).mapToDouble(s -> s.perSecond).sum();
    boolean much =
        !simulatedZone.bad
            && own <= simulatedZone.capacity()
            && simulatedZone.sent * SECOND / ACT_EVERY > PUSHED * simulatedZone.capacity();
    simulatedZone.over = much ? simulatedZone.over + ACT_EVERY : 0;
    if (simulatedZone.over > PUSHED_FOR && pushed == null) {
      pushed =
          simulatedZone.name
              + " was sent "
              + simulatedZone.sent * SECOND / ACT_EVERY
              + " a second and can do "
              + simulatedZone.capacity()
              + " at "
              + scheduler.now() / MILLI
              + " ms";
    }
  }

  void run(long time) {
    scheduler.advance(scheduler.now() + time);
  }

  ZonesAdmin admin() {
    return new ZonesAdmin(KEYS, topology, call -> StoreModelClient.of(store, call));
  }

  ZonePlan plan() {
    try {
      ZonePlan there = admin().readSnapshot().plan();
      return there == null ? ZonePlan.initial(topology) : there;
    } catch (AgreementException e) {
      throw new IllegalStateException(e);
    }
  }

  List<SimulatedRouter> of(String place) {
    return simulatedRouters.stream().filter(s -> s.home.equals(place)).toList();
  }

  /** What part of a place's requests was served while it ran so long. */
  double served(String place, long time) {
    double before = of(place).stream().mapToDouble(s -> s.served).sum();
    double wanted =
        of(place).stream().filter(s -> !s.down).mapToDouble(s -> s.perSecond).sum() * time / SECOND;
    run(time);
    return (of(place).stream().mapToDouble(s -> s.served).sum() - before) / wanted;
  }

  /**
   * The most that was sent to a place in a step since it was last asked, as a part of what it
   * carries.
   */
  double peak(String place) {
    SimulatedZone simulatedZone = simulatedZones.get(place);
    double most = simulatedZone.most;
    simulatedZone.most = 0;
    return most / simulatedZone.capacity();
  }

  String said() {
    return String.join("\n", log);
  }
}
