package beaconturn.zones;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * A course of troubles in the model, each at its time and for as long as it lasts: made of chance
 * by a seed, played, and, if it fails, cut down to the fewest that fail still.
 */
record RandomFailoverScenario(
    long seed, int places, int routers, double inPlace, List<Trouble> troubles) {
  private static final long SECOND = SimulatedZones.SECOND;
  private static final int FULL = 10;
  private static final long BEGIN = 5 * SECOND;
  private static final long CALM = 90 * SECOND;

  /** The end of what is never mended. */
  static final long NEVER = Long.MAX_VALUE;

  /** What can go wrong. */
  enum Kind {
    /** The cache servers of a place answer nothing. */
    STALL,
    /** So many of them are warm still. */
    COLD,
    /** One router loses the store. */
    CUT,
    /** All routers of a place do. */
    SITE_CUT,
    /** One router does not reach its own place. */
    WAY,
    /** A router is killed and started again. */
    KILL
  }

  /** One of them; {@code on} is the number of a place or of a router. */
  record Trouble(Kind kind, int on, int amount, long from, long to) {}

  /** A course made of chance. */
  static RandomFailoverScenario of(long seed, int routers) {
    Random random = new Random(seed);
    int places = 3 + random.nextInt(6);
    List<Trouble> troubles = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      Kind kind = Kind.values()[random.nextInt(Kind.values().length)];
      int on =
          random.nextInt(
              kind == Kind.STALL || kind == Kind.COLD || kind == Kind.SITE_CUT
                  ? places
                  : places * routers);
      long from = BEGIN + (long) (random.nextDouble() * 30 * SECOND);
      troubles.add(
          new Trouble(
              kind,
              on,
              1 + random.nextInt(FULL),
              from,
              from + SECOND / 2 + (long) (random.nextDouble() * 15 * SECOND)));
    }
    return new RandomFailoverScenario(seed, places, routers, 100 + random.nextInt(150), troubles);
  }

  /** What went wrong that must not, or null. */
  String fails() {
    return fails(world -> {});
  }

  /** The same, with something done to the world before it runs. */
  String fails(Consumer<SimulatedZones> prepare) {
    Map<String, String> regions = new TreeMap<>();
    for (int i = 0; i < places; i++) {
      regions.put("p" + i, i % 2 == 0 ? "a" : "b");
    }
    SimulatedZones world = new SimulatedZones(seed, regions, routers, inPlace * 3 / routers, 100);
    prepare.accept(world);
    for (Trouble t : troubles) {
      world.scheduler.at(t.from(), () -> set(world, t, true));
      if (t.to() != NEVER) {
        world.scheduler.at(t.to(), () -> set(world, t, false));
      }
    }
    world.run(length());
    for (String place : world.topology.zones()) {
      ZoneAllocation row = world.plan().allocationOf(place);
      if (row.weightOf(place) < ZoneAllocation.TOTAL_WEIGHT - ZoneAllocation.TRIAL_WEIGHT) {
        return place + " is not back near: " + row.weights();
      }
    }
    return world.pushed;
  }

  private long length() {
    return CALM
        + troubles.stream().mapToLong(t -> t.to() == NEVER ? t.from() : t.to()).max().orElse(BEGIN);
  }

  private static void set(SimulatedZones world, Trouble t, boolean on) {
    String place = "p" + t.on() % world.simulatedZones.size();
    SimulatedZones.SimulatedZone simulatedZone = world.simulatedZones.get(place);
    SimulatedZones.SimulatedRouter router =
        world.simulatedRouters.get(t.on() % world.simulatedRouters.size());
    switch (t.kind()) {
      case STALL -> simulatedZone.bad = on;
      case COLD -> simulatedZone.warm = on ? t.amount() : FULL;
      case CUT -> router.cut = on;
      case SITE_CUT -> world.of(place).forEach(s -> s.cut = on);
      case WAY -> {
        if (on) {
          router.unreachable.add(router.home);
        } else {
          router.unreachable.clear();
        }
      }
      default -> {
        router.die();
        if (!on) {
          router.start();
        }
      }
    }
  }

  /** The same with the fewest troubles that fail still; itself if it does not fail. */
  RandomFailoverScenario shrunk() {
    if (fails() == null) {
      return this;
    }
    RandomFailoverScenario least = this;
    for (int i = 0; i < least.troubles.size(); ) {
      List<Trouble> fewer = new ArrayList<>(least.troubles);
      fewer.remove(i);
      RandomFailoverScenario tried =
          new RandomFailoverScenario(seed, places, routers, inPlace, fewer);
      if (tried.fails() == null) {
        i++;
      } else {
        least = tried;
      }
    }
    return least;
  }

  /** As a scenario that {@code rehearse} plays, with ten cache servers in each place. */
  String scenario() {
    StringBuilder out = new StringBuilder();
    List<String> sites = new ArrayList<>();
    for (int i = 0; i < places; i++) {
      sites.add("\"p" + i + "\"");
    }
    out.append(
        String.format(
            Locale.ROOT,
            "name = \"course-%d\"%nlength = \"%ds\"%n[fleet]%n"
                + "caches = %d%nsites = [%s]%n[agreement]%nlease ="
                + " \"2s\"%n[zones]%neach_per_s = 100%n",
            seed,
            length() / SECOND,
            FULL * places,
            String.join(", ", sites)));
    for (String site : sites) {
      out.append(
          String.format(
              Locale.ROOT,
              "[[router]]%nsite = %s%ncount = %d%n[[clients]]%n" + "site = %s%nrate = %.0f%n",
              site,
              routers,
              site,
              inPlace * 3));
    }
    for (Trouble t : troubles) {
      out.append(
          String.format(
              Locale.ROOT,
              "[[fault]]%nkind = \"%s\"%non = [%s]%n%sfrom = \"%dms\"%n" + "to = \"%dms\"%n",
              word(t.kind()),
              String.join(", ", on(t)),
              t.kind() == Kind.WAY ? "way = " + sites.get(t.on() / routers) + "\n" : "",
              t.from() / SimulatedZones.MILLI,
              Math.min(length(), t.to()) / SimulatedZones.MILLI));
    }
    return out.toString();
  }

  private static String word(Kind kind) {
    return switch (kind) {
      case STALL -> "stall";
      case COLD -> "drain";
      case CUT, SITE_CUT, WAY -> "link-cut";
      case KILL -> "router-kill";
    };
  }

  /** Cache servers stand in places by turns, routers place by place. */
  private List<String> on(Trouble t) {
    List<String> names = new ArrayList<>();
    switch (t.kind()) {
      case STALL, COLD -> {
        for (int i = t.kind() == Kind.COLD ? t.amount() : 0; i < FULL; i++) {
          names.add("\"c" + (1 + t.on() + i * places) + "\"");
        }
      }
      case SITE_CUT -> {
        for (int i = 0; i < routers; i++) {
          names.add("\"r" + (1 + t.on() * routers + i) + "\"");
        }
      }
      default -> names.add("\"r" + (1 + t.on()) + "\"");
    }
    return names;
  }
}
