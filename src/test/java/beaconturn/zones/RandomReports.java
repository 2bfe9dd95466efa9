package beaconturn.zones;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;

/**
 * What the routers of several zones report while zones break, slow down, lose cache servers and
 * come back, all drawn from a seed: for a planner that is driven without members and a store.
 */
final class RandomReports {
  private static final int ROUTERS = 3;
  private static final int SERVERS = 10;

  final ZoneTopology topology;
  final List<ZoneOverride> overrides = new ArrayList<>();
  private final Random random;
  private final Map<String, Zone> zones = new TreeMap<>();
  private final List<Router> routers = new ArrayList<>();

  /** How a zone is at the moment. */
  private static final class Zone {
    private double failureShare;
    private long micros = 1000;
    private int listed = SERVERS;
    private int warm = SERVERS;
    private int ejected;
  }

  /** One router and the counts that it reports. */
  private static final class Router {
    private final String name;
    private final String home;
    private double perSecond;
    private boolean stuck;
    private boolean gone;
    private boolean unlisting;
    private String unreached = "";
    private long number;
    private long plan;
    private double arrivals;
    private final Map<String, double[]> counts = new TreeMap<>();

    private Router(String name, String home, double perSecond) {
      this.name = name;
      this.home = home;
      this.perSecond = perSecond;
    }
  }

  RandomReports(long seed) {
    random = new Random(seed);
    TreeMap<String, String> regions = new TreeMap<>();
    int count = 2 + random.nextInt(4);
    for (int i = 0; i < count; i++) {
      String zone = "z" + i;
      regions.put(zone, i % 2 == 0 ? "a" : "b");
      zones.put(zone, new Zone());
      for (int k = 0; k < ROUTERS; k++) {
        routers.add(new Router(zone + "-" + k + "/1", zone, 50 + random.nextInt(250)));
      }
    }
    topology = new ZoneTopology(regions, 100, 100 + random.nextInt(1000), 50);
  }

  private String anyZone() {
    return "z" + random.nextInt(zones.size());
  }

  /** Changes one thing, or mends one. */
  void disturb() {
    Zone zone = zones.get(anyZone());
    Router router = routers.get(random.nextInt(routers.size()));
    switch (random.nextInt(16)) {
      case 0 -> zone.failureShare = 1;
      case 1 -> zone.failureShare = random.nextDouble();
      case 2, 3, 4 -> zone.failureShare = 0;
      case 5 -> zone.micros = 500L + random.nextInt(20_000);
      case 6 -> zone.warm = random.nextInt(SERVERS + 1);
      case 7 -> zone.listed = random.nextInt(3) == 0 ? 0 : SERVERS;
      case 8 -> zone.ejected = random.nextInt(SERVERS + 1);
      case 9 -> router.perSecond = 400 * random.nextDouble();
      case 10 -> router.stuck = !router.stuck;
      case 11 -> router.gone = !router.gone;
      case 12 -> router.unreached = random.nextBoolean() ? anyZone() : "";
      case 13 -> router.unlisting = !router.unlisting;
      default -> override();
    }
  }

  private void override() {
    String zone = anyZone();
    overrides.removeIf(o -> o.zone().equals(zone));
    if (random.nextBoolean()) {
      ZoneOverrideKind what = ZoneOverrideKind.values()[random.nextInt(3)];
      overrides.add(new ZoneOverride(zone, what, 10 * random.nextInt(101), 0, "op", "why"));
    }
  }

  /** What all report after so many more seconds under the plan. */
  List<ZoneReport> after(double seconds, ZonePlan plan) {
    List<ZoneReport> reports = new ArrayList<>();
    for (Router router : routers) {
      work(router, seconds, plan);
      if (!router.gone) {
        reports.add(report(router));
      }
    }
    return reports;
  }

  private void work(Router router, double seconds, ZonePlan plan) {
    double came = router.perSecond * seconds * (0.8 + 0.4 * random.nextDouble());
    router.arrivals += came;
    if (!router.stuck) {
      router.number++;
    }
    if (random.nextInt(4) > 0) {
      router.plan = plan.number();
    }
    plan.allocationOf(router.home)
        .weights()
        .forEach((zone, part) -> send(router, zone, came * part / 1000));
  }

  private void send(Router router, String zone, double sent) {
    double bad = router.unreached.equals(zone) ? 1 : zones.get(zone).failureShare;
    double[] counts = router.counts.computeIfAbsent(zone, z -> new double[3]);
    counts[0] += sent * (1 - bad);
    counts[1] += sent * bad;
    counts[2] += sent * (1 - bad) * zones.get(zone).micros;
  }

  private ZoneReport report(Router router) {
    TreeMap<String, ZoneObservations> seen = new TreeMap<>();
    zones.forEach(
        (name, zone) -> {
          double[] counts = router.counts.getOrDefault(name, new double[3]);
          int listed = router.unlisting ? 0 : zone.listed;
          seen.put(
              name,
              new ZoneObservations(
                  (long) counts[0],
                  (long) counts[1],
                  (long) counts[2],
                  listed,
                  Math.min(listed, zone.warm),
                  Math.min(listed, zone.ejected)));
        });
    return new ZoneReport(
        router.name, router.home, router.number, router.plan, (long) router.arrivals, seen);
  }
}
