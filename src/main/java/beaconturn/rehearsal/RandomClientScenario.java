package beaconturn.rehearsal;

import beaconturn.standin.Fault;
import beaconturn.standin.RandomSources;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Scenarios made of chance about clients and their connections: a few routers, signals in series,
 * cache servers that fail or drain, discovery away, and clients that send many commands at once,
 * wrong ones among them, in pieces, with little time, or leave over what is open. A seed always
 * makes the same one.
 */
final class RandomClientScenario {
  private static final int LENGTH_MILLIS = 8000;
  private static final int CALM_MILLIS = 400;
  private static final int LAST_MILLIS = 6500;
  private static final int LONGEST_FAULT_MILLIS = 2500;
  private static final int FEWEST_ROUTERS = 3;
  private static final int MORE_ROUTERS = 4;
  private static final int CACHES = 6;
  private static final int FEWEST_FAULTS = 4;
  private static final int MORE_FAULTS = 6;
  private static final int MOST_RELOADS = 4;
  private static final int RELOADS_APART_MILLIS = 350;
  private static final int RATE = 40;

  /** Descriptors that leave room for a few dozen clients, and more silent ones than have room. */
  private static final int FEW_SOCKETS = 192;

  private static final int MANY_SOCKETS = 1024;
  private static final int CROWD = 90;
  private static final List<Fault.Kind> OF_ROUTERS =
      List.of(
          Fault.Kind.ROUTER_TERM,
          Fault.Kind.ROUTER_TERM,
          Fault.Kind.ROUTER_TERM,
          Fault.Kind.ROUTER_KILL,
          Fault.Kind.ROUTER_PAUSE,
          Fault.Kind.ROUTER_RELOAD,
          Fault.Kind.ROUTER_RELOAD);
  private static final List<Fault.Kind> AROUND =
      List.of(
          Fault.Kind.STALL,
          Fault.Kind.SLOW,
          Fault.Kind.ERRORS,
          Fault.Kind.RESET,
          Fault.Kind.SPOIL,
          Fault.Kind.MUTE,
          Fault.Kind.REFUSE,
          Fault.Kind.UNREAD,
          Fault.Kind.VANISH,
          Fault.Kind.DRAIN,
          Fault.Kind.DRAIN,
          Fault.Kind.KILL,
          Fault.Kind.DISCOVERY_OUT,
          Fault.Kind.DISCOVERY_SLOW);
  private static final List<Integer> PIPELINES = List.of(2, 4, 8, 16, 32);

  private final UniformRandomProvider random;
  private final StringBuilder out = new StringBuilder();
  private final Set<String> struck = new HashSet<>();
  private int routers;

  private RandomClientScenario(long seed) {
    this.random = new RandomSources(seed).of("client storm");
  }

  /** The scenario of a seed, as a file. */
  static String text(long seed) {
    RandomClientScenario storm = new RandomClientScenario(seed);
    storm.write(seed);
    return storm.out.toString();
  }

  private void write(long seed) {
    routers = FEWEST_ROUTERS + random.nextInt(MORE_ROUTERS);
    boolean crowded = random.nextInt(3) == 0;
    boolean hurried = random.nextBoolean();
    line("name = \"client-storm-%d\"", seed);
    line("seed = %d", seed);
    line("length = \"%dms\"", LENGTH_MILLIS);
    classes(hurried);
    line("[fleet]%ncaches = %d%ncold_for = \"1s\"", CACHES);
    line("[settings]%nconn_idle = \"%dms\"", 300 + random.nextInt(3000));
    line("[[router]]%ncount = %d%nsockets = %d", routers, crowded ? FEW_SOCKETS : MANY_SOCKETS);
    clients(crowded);
    int faults = FEWEST_FAULTS + random.nextInt(MORE_FAULTS);
    for (int i = 0; i < faults; i++) {
      if (random.nextBoolean()) {
        routerFault(OF_ROUTERS.get(random.nextInt(OF_ROUTERS.size())));
      } else {
        fault(AROUND.get(random.nextInt(AROUND.size())));
      }
    }
  }

  private void line(String format, Object... values) {
    out.append(String.format(Locale.ROOT, format, values)).append(System.lineSeparator());
  }

  /** Short deadlines bring the kill after a planned stop soon. */
  private void classes(boolean hurried) {
    int deadline = hurried ? 150 + random.nextInt(350) : 800 + random.nextInt(1200);
    type("level", "safe", 0.8, deadline, 400);
    type("correction", "keyed", 0.12, deadline * 3 / 2, 1 + random.nextInt(9000));
    type("alert-ack", "unsafe", 0.08, deadline * 3 / 2, 100);
  }

  private void type(String name, String effect, double share, int deadline, int size) {
    line(
        "[[class]]%nname = \"%s\"%neffect = \"%s\"%nshare = %.2f%naim = \"%dms\"%ndeadline"
            + " = \"%dms\"%n"
            + "size = %d",
        name, effect, share, deadline / 2, deadline, size);
  }

  private void clients(boolean crowded) {
    line(
        "[[clients]]%nrate = %d%ntry_share = 0.9%npipeline = %d%nwrong = %.2f%npieces = %.2f%n"
            + "hasty = %.2f%nleaves = %.2f%nsilent = %d",
        RATE * routers,
        PIPELINES.get(random.nextInt(PIPELINES.size())),
        random.nextDouble() / 2,
        random.nextDouble() / 2,
        random.nextDouble() / 10,
        random.nextDouble() / 20,
        crowded ? CROWD : 0);
    line("[[clients]]%nrate = %d", RATE * routers / 4);
  }

  private void routerFault(Fault.Kind kind) {
    String router = "r" + (1 + random.nextInt(routers));
    int from = CALM_MILLIS + random.nextInt(LAST_MILLIS - CALM_MILLIS);
    int to = Math.min(LENGTH_MILLIS, from + CALM_MILLIS + random.nextInt(LONGEST_FAULT_MILLIS));
    if (kind == Fault.Kind.ROUTER_RELOAD) {
      int series = 1 + random.nextInt(MOST_RELOADS);
      for (int i = 0; i < series; i++) {
        int at = Math.min(LENGTH_MILLIS - 1, from + i * RELOADS_APART_MILLIS);
        fault(kind, at, Math.min(LENGTH_MILLIS, at + RELOADS_APART_MILLIS / 2), router);
      }
    } else if (struck.add(router)) {
      // One process is not told to stop, killed and made to stand still at the same time.
      fault(kind, from, to, router);
    }
  }

  private void fault(Fault.Kind kind) {
    int from = CALM_MILLIS + random.nextInt(LAST_MILLIS - CALM_MILLIS);
    int to = Math.min(LENGTH_MILLIS, from + CALM_MILLIS + random.nextInt(LONGEST_FAULT_MILLIS));
    if (kind.target() != Fault.Target.CACHE) {
      fault(kind, from, to);
      return;
    }
    List<String> names = new ArrayList<>();
    for (int i = 1 + random.nextInt(CACHES / 3); i > 0; i--) {
      String name = Scenario.cacheName(random.nextInt(CACHES));
      // What has been killed or drained cannot be again meanwhile.
      if (struck.add(name)) {
        names.add(name);
      }
    }
    if (!names.isEmpty()) {
      fault(kind, from, to, names.toArray(String[]::new));
    }
  }

  private void fault(Fault.Kind kind, int from, int to, String... on) {
    line("[[fault]]%nkind = \"%s\"%nfrom = \"%dms\"%nto = \"%dms\"", kind.word(), from, to);
    if (on.length > 0) {
      line("on = %s", ScenarioPrinter.words(List.of(on)));
    }
  }
}
