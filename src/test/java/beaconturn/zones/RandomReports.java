package beaconturn.zones;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;

/**
 * Generates router reports of several zones that randomly fail, slow down, lose cache servers and
 * recover, to test the planner without members and a store.
 */
final class RandomReports {
  private static final int ROUTERS = 3;
  private static final int SERVERS = 10;

  final ZoneTopology topology;
  final List<ZoneOverride> overrides = new ArrayList<>();
  private final Random random;
  private final Map<String, Zone> zones = new TreeMap<>();
  private final List<Router> routers = new ArrayList<>();

  /** The current condition of a zone. */
  private static final class Zone {
    private double failureShare;
    private long responseMicros = 1000;
    private int listedServers = SERVERS;
    private int warmServers = SERVERS;
    private int ejectedServers;
  }

  /** A router and the totals that it reports. */
  private static final class Router {
    private final String name;
    private final String home;
    private double requestsPerSecond;
    private boolean reportStuck;
    private boolean reportMissing;
    private boolean listEmpty;
    private String unreachableZone = "";
    private long sequenceNumber;
    private long planNumber;
    private double arrivals;
    private final Map<String, double[]> counts = new TreeMap<>();

    private Router(String name, String home, double requestsPerSecond) {
      this.name = name;
      this.home = home;
      this.requestsPerSecond = requestsPerSecond;
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

  /** Introduces or removes one fault. */
  void disturb() {
    Zone zone = zones.get(anyZone());
    Router router = routers.get(random.nextInt(routers.size()));
    switch (random.nextInt(16)) {
      case 0 -> zone.failureShare = 1;
      case 1 -> zone.failureShare = random.nextDouble();
      case 2, 3, 4 -> zone.failureShare = 0;
      case 5 -> zone.responseMicros = 500L + random.nextInt(20_000);
      case 6 -> zone.warmServers = random.nextInt(SERVERS + 1);
      case 7 -> zone.listedServers = random.nextInt(3) == 0 ? 0 : SERVERS;
      case 8 -> zone.ejectedServers = random.nextInt(SERVERS + 1);
      case 9 -> router.requestsPerSecond = 400 * random.nextDouble();
      case 10 -> router.reportStuck = !router.reportStuck;
      case 11 -> router.reportMissing = !router.reportMissing;
      case 12 -> router.unreachableZone = random.nextBoolean() ? anyZone() : "";
      case 13 -> router.listEmpty = !router.listEmpty;
      default -> changeOverride();
    }
  }

  private void changeOverride() {
    String zone = anyZone();
    overrides.removeIf(override -> override.zone().equals(zone));
    if (random.nextBoolean()) {
      ZoneOverrideKind kind = ZoneOverrideKind.values()[random.nextInt(3)];
      overrides.add(new ZoneOverride(zone, kind, 10 * random.nextInt(101), 0, "op", "why"));
    }
  }

  /** Returns the reports of all routers after a further time of operation under the plan. */
  List<ZoneReport> after(double seconds, ZonePlan plan) {
    List<ZoneReport> reports = new ArrayList<>();
    for (Router router : routers) {
      advance(router, seconds, plan);
      if (!router.reportMissing) {
        reports.add(report(router));
      }
    }
    return reports;
  }

  private void advance(Router router, double seconds, ZonePlan plan) {
    double newArrivals = router.requestsPerSecond * seconds * (0.8 + 0.4 * random.nextDouble());
    router.arrivals += newArrivals;
    if (!router.reportStuck) {
      router.sequenceNumber++;
    }
    if (random.nextInt(4) > 0) {
      router.planNumber = plan.number();
    }
    plan.allocationOf(router.home)
        .weights()
        .forEach((zone, weight) -> send(router, zone, newArrivals * weight / 1000));
  }

  private void send(Router router, String zone, double sent) {
    double failureShare = router.unreachableZone.equals(zone) ? 1 : zones.get(zone).failureShare;
    double[] counts = router.counts.computeIfAbsent(zone, z -> new double[3]);
    counts[0] += sent * (1 - failureShare);
    counts[1] += sent * failureShare;
    counts[2] += sent * (1 - failureShare) * zones.get(zone).responseMicros;
  }

  private ZoneReport report(Router router) {
    TreeMap<String, ZoneObservations> seen = new TreeMap<>();
    zones.forEach(
        (name, zone) -> {
          double[] counts = router.counts.getOrDefault(name, new double[3]);
          int listedServers = router.listEmpty ? 0 : zone.listedServers;
          seen.put(
              name,
              new ZoneObservations(
                  (long) counts[0],
                  (long) counts[1],
                  (long) counts[2],
                  listedServers,
                  Math.min(listedServers, zone.warmServers),
                  Math.min(listedServers, zone.ejectedServers)));
        });
    return new ZoneReport(
        router.name,
        router.home,
        router.sequenceNumber,
        router.planNumber,
        (long) router.arrivals,
        seen);
  }
}
