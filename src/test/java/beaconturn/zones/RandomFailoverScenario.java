package beaconturn.zones;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * A random series of faults in simulated zones. The scenario is generated from a seed, can be run
 * and, if it fails, reduced to faults none of which can be left out.
 *
 * @param routers number of routers in each zone
 * @param baseRequestsPerSecond a third of the requests per second in each zone
 */
record RandomFailoverScenario(
    long seed, int zoneCount, int routers, double baseRequestsPerSecond, List<Fault> faults) {
  private static final long SECOND_NANOS = SimulatedZones.SECOND_NANOS;
  private static final int SERVERS_PER_ZONE = 10;
  private static final long FIRST_FAULT_NANOS = 5 * SECOND_NANOS;
  private static final long RECOVERY_NANOS = 90 * SECOND_NANOS;

  /** End of a fault that is never removed. */
  static final long NEVER_NANOS = Long.MAX_VALUE;

  enum Kind {
    /** The cache servers of a zone do not respond. */
    STALL,
    /** Only some cache servers of a zone are warm. */
    COLD,
    /** One router cannot reach the store. */
    STORE_CUT,
    /** No router of a zone can reach the store. */
    ZONE_STORE_CUT,
    /** One router cannot reach its home zone. */
    HOME_LINK_CUT,
    /** A router is killed and restarted. */
    ROUTER_KILL
  }

  /**
   * A fault that is active during a period.
   *
   * @param target index of the affected zone or router
   * @param warmServers cache servers that stay warm, for {@link Kind#COLD}
   */
  record Fault(Kind kind, int target, int warmServers, long fromNanos, long toNanos) {}

  /** Generates a scenario from a seed. */
  static RandomFailoverScenario of(long seed, int routers) {
    Random random = new Random(seed);
    int zoneCount = 3 + random.nextInt(6);
    List<Fault> faults = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      Kind kind = Kind.values()[random.nextInt(Kind.values().length)];
      int target =
          random.nextInt(
              kind == Kind.STALL || kind == Kind.COLD || kind == Kind.ZONE_STORE_CUT
                  ? zoneCount
                  : zoneCount * routers);
      long fromNanos = FIRST_FAULT_NANOS + (long) (random.nextDouble() * 30 * SECOND_NANOS);
      faults.add(
          new Fault(
              kind,
              target,
              1 + random.nextInt(SERVERS_PER_ZONE),
              fromNanos,
              fromNanos + SECOND_NANOS / 2 + (long) (random.nextDouble() * 15 * SECOND_NANOS)));
    }
    return new RandomFailoverScenario(seed, zoneCount, routers, 100 + random.nextInt(150), faults);
  }

  /** Runs the scenario and returns the violation that it found, or null. */
  String failure() {
    return failure(simulation -> {});
  }

  /** Prepares a simulation, runs the scenario in it, and returns the violation or null. */
  String failure(Consumer<SimulatedZones> prepare) {
    Map<String, String> regions = new TreeMap<>();
    for (int i = 0; i < zoneCount; i++) {
      regions.put("p" + i, i % 2 == 0 ? "a" : "b");
    }
    SimulatedZones simulation =
        new SimulatedZones(seed, regions, routers, baseRequestsPerSecond * 3 / routers, 100);
    prepare.accept(simulation);
    for (Fault fault : faults) {
      simulation.scheduler.at(fault.fromNanos(), () -> apply(simulation, fault, true));
      if (fault.toNanos() != NEVER_NANOS) {
        simulation.scheduler.at(fault.toNanos(), () -> apply(simulation, fault, false));
      }
    }
    simulation.run(lengthNanos());
    for (String zone : simulation.topology.zones()) {
      ZoneAllocation allocation = simulation.plan().allocationOf(zone);
      if (allocation.weightOf(zone) < ZoneAllocation.TOTAL_WEIGHT - ZoneAllocation.TRIAL_WEIGHT) {
        return zone + " does not serve its own keys again: " + allocation.weights();
      }
    }
    return simulation.overload;
  }

  private long lengthNanos() {
    return RECOVERY_NANOS
        + faults.stream()
            .mapToLong(
                fault -> fault.toNanos() == NEVER_NANOS ? fault.fromNanos() : fault.toNanos())
            .max()
            .orElse(FIRST_FAULT_NANOS);
  }

  private static void apply(SimulatedZones simulation, Fault fault, boolean active) {
    String zone = "p" + fault.target() % simulation.zones.size();
    SimulatedZones.SimulatedZone simulatedZone = simulation.zones.get(zone);
    SimulatedZones.SimulatedRouter router =
        simulation.routers.get(fault.target() % simulation.routers.size());
    switch (fault.kind()) {
      case STALL -> simulatedZone.unavailable = active;
      case COLD -> simulatedZone.warmServers = active ? fault.warmServers() : SERVERS_PER_ZONE;
      case STORE_CUT -> router.storeUnreachable = active;
      case ZONE_STORE_CUT -> simulation.routersOf(zone).forEach(r -> r.storeUnreachable = active);
      case HOME_LINK_CUT -> {
        if (active) {
          router.unreachableZones.add(router.home);
        } else {
          router.unreachableZones.clear();
        }
      }
      default -> {
        router.kill();
        if (!active) {
          router.start();
        }
      }
    }
  }

  /** Returns a scenario without the faults that the violation does not need. */
  RandomFailoverScenario shrunk() {
    if (failure() == null) {
      return this;
    }
    RandomFailoverScenario smallest = this;
    for (int i = 0; i < smallest.faults.size(); ) {
      List<Fault> fewer = new ArrayList<>(smallest.faults);
      fewer.remove(i);
      RandomFailoverScenario candidate =
          new RandomFailoverScenario(seed, zoneCount, routers, baseRequestsPerSecond, fewer);
      if (candidate.failure() == null) {
        i++;
      } else {
        smallest = candidate;
      }
    }
    return smallest;
  }

  /** Returns the scenario as a TOML file for {@code rehearse}. */
  String toToml() {
    StringBuilder toml = new StringBuilder();
    List<String> sites = new ArrayList<>();
    for (int i = 0; i < zoneCount; i++) {
      sites.add("\"p" + i + "\"");
    }
    toml.append(
        String.format(
            Locale.ROOT,
            "name = \"failover-%d\"%nlength = \"%ds\"%n[fleet]%n"
                + "caches = %d%nsites = [%s]%n[agreement]%nlease ="
                + " \"2s\"%n[zones]%neach_per_s = 100%n",
            seed,
            lengthNanos() / SECOND_NANOS,
            SERVERS_PER_ZONE * zoneCount,
            String.join(", ", sites)));
    for (String site : sites) {
      toml.append(
          String.format(
              Locale.ROOT,
              "[[router]]%nsite = %s%ncount = %d%n[[clients]]%n" + "site = %s%nrate = %.0f%n",
              site,
              routers,
              site,
              baseRequestsPerSecond * 3));
    }
    for (Fault fault : faults) {
      toml.append(
          String.format(
              Locale.ROOT,
              "[[fault]]%nkind = \"%s\"%non = [%s]%n%sfrom = \"%dms\"%n" + "to = \"%dms\"%n",
              faultKind(fault.kind()),
              String.join(", ", targetNames(fault)),
              fault.kind() == Kind.HOME_LINK_CUT
                  ? "way = " + sites.get(fault.target() / routers) + "\n"
                  : "",
              fault.fromNanos() / SimulatedZones.MILLI_NANOS,
              Math.min(lengthNanos(), fault.toNanos()) / SimulatedZones.MILLI_NANOS));
    }
    return toml.toString();
  }

  private static String faultKind(Kind kind) {
    return switch (kind) {
      case STALL -> "stall";
      case COLD -> "drain";
      case STORE_CUT, ZONE_STORE_CUT, HOME_LINK_CUT -> "link-cut";
      case ROUTER_KILL -> "router-kill";
    };
  }

  /**
   * Returns the names of the affected instances. Cache servers are numbered round-robin over the
   * zones, routers zone by zone.
   */
  private List<String> targetNames(Fault fault) {
    List<String> names = new ArrayList<>();
    switch (fault.kind()) {
      case STALL, COLD -> {
        for (int i = fault.kind() == Kind.COLD ? fault.warmServers() : 0;
            i < SERVERS_PER_ZONE;
            i++) {
          names.add("\"c" + (1 + fault.target() + i * zoneCount) + "\"");
        }
      }
      case ZONE_STORE_CUT -> {
        for (int i = 0; i < routers; i++) {
          names.add("\"r" + (1 + fault.target() * routers + i) + "\"");
        }
      }
      default -> names.add("\"r" + (1 + fault.target()) + "\"");
    }
    return names;
  }
}
