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
 * Generates random scenarios about client connections: a few routers that get series of signals,
 * cache servers that fail or drain, discovery that fails, and clients that pipeline commands, send
 * invalid ones, split writes, use short timeouts or disconnect with open requests. The same seed
 * always generates the same scenario, so the order and number of random draws must not change.
 */
final class RandomClientScenario {
  private static final int LENGTH_MILLIS = 8000;

  /** Minimum time before the first fault; minimum length of a fault. */
  private static final int MIN_INTERVAL_MILLIS = 400;

  private static final int LATEST_FAULT_START_MILLIS = 6500;
  private static final int FAULT_LENGTH_RANGE_MILLIS = 2500;
  private static final int MIN_ROUTERS = 3;
  private static final int ROUTER_COUNT_RANGE = 4;
  private static final int CACHE_SERVER_COUNT = 6;
  private static final int MIN_FAULTS = 4;
  private static final int FAULT_COUNT_RANGE = 6;
  private static final int MAX_RELOADS = 4;
  private static final int RELOAD_INTERVAL_MILLIS = 350;
  private static final int REQUESTS_PER_SECOND_PER_ROUTER = 40;

  /** Enough sockets for a few dozen clients, but not for all silent connections. */
  private static final int LIMITED_SOCKETS = 192;

  private static final int DEFAULT_SOCKETS = 1024;
  private static final int SILENT_CONNECTIONS = 90;
  private static final List<Fault.Kind> ROUTER_FAULT_KINDS =
      List.of(
          Fault.Kind.ROUTER_TERM,
          Fault.Kind.ROUTER_TERM,
          Fault.Kind.ROUTER_TERM,
          Fault.Kind.ROUTER_KILL,
          Fault.Kind.ROUTER_PAUSE,
          Fault.Kind.ROUTER_RELOAD,
          Fault.Kind.ROUTER_RELOAD);
  private static final List<Fault.Kind> ENVIRONMENT_FAULT_KINDS =
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
  private static final List<Integer> PIPELINE_DEPTHS = List.of(2, 4, 8, 16, 32);

  private final UniformRandomProvider random;
  private final StringBuilder out = new StringBuilder();
  private final Set<String> affectedInstances = new HashSet<>();
  private int routerCount;

  private RandomClientScenario(long seed) {
    this.random = new RandomSources(seed).of("client storm");
  }

  /** Returns the scenario file of a seed. */
  static String generateText(long seed) {
    RandomClientScenario generator = new RandomClientScenario(seed);
    generator.write(seed);
    return generator.out.toString();
  }

  private void write(long seed) {
    routerCount = MIN_ROUTERS + random.nextInt(ROUTER_COUNT_RANGE);
    boolean manyConnections = random.nextInt(3) == 0;
    boolean shortDeadlines = random.nextBoolean();
    line("name = \"client-storm-%d\"", seed);
    line("seed = %d", seed);
    line("length = \"%dms\"", LENGTH_MILLIS);
    writeClasses(shortDeadlines);
    line("[fleet]%ncaches = %d%ncold_for = \"1s\"", CACHE_SERVER_COUNT);
    line("[settings]%nconn_idle = \"%dms\"", 300 + random.nextInt(3000));
    line(
        "[[router]]%ncount = %d%nsockets = %d",
        routerCount, manyConnections ? LIMITED_SOCKETS : DEFAULT_SOCKETS);
    writeClientStreams(manyConnections);
    int faults = MIN_FAULTS + random.nextInt(FAULT_COUNT_RANGE);
    for (int i = 0; i < faults; i++) {
      if (random.nextBoolean()) {
        writeRouterFault(ROUTER_FAULT_KINDS.get(random.nextInt(ROUTER_FAULT_KINDS.size())));
      } else {
        writeFault(ENVIRONMENT_FAULT_KINDS.get(random.nextInt(ENVIRONMENT_FAULT_KINDS.size())));
      }
    }
  }

  private void line(String format, Object... values) {
    out.append(String.format(Locale.ROOT, format, values)).append(System.lineSeparator());
  }

  /** Short deadlines, with which a router is killed soon after the start of a planned stop. */
  private void writeClasses(boolean shortDeadlines) {
    int deadlineMillis = shortDeadlines ? 150 + random.nextInt(350) : 800 + random.nextInt(1200);
    writeClass("level", "safe", 0.8, deadlineMillis, 400);
    writeClass("correction", "keyed", 0.12, deadlineMillis * 3 / 2, 1 + random.nextInt(9000));
    writeClass("alert-ack", "unsafe", 0.08, deadlineMillis * 3 / 2, 100);
  }

  private void writeClass(
      String name, String effect, double trafficShare, int deadlineMillis, int valueBytes) {
    line(
        "[[class]]%nname = \"%s\"%neffect = \"%s\"%nshare = %.2f%naim = \"%dms\"%ndeadline"
            + " = \"%dms\"%n"
            + "size = %d",
        name, effect, trafficShare, deadlineMillis / 2, deadlineMillis, valueBytes);
  }

  private void writeClientStreams(boolean manyConnections) {
    line(
        "[[clients]]%nrate = %d%ntry_share = 0.9%npipeline = %d%nwrong = %.2f%npieces = %.2f%n"
            + "hasty = %.2f%nleaves = %.2f%nsilent = %d",
        REQUESTS_PER_SECOND_PER_ROUTER * routerCount,
        PIPELINE_DEPTHS.get(random.nextInt(PIPELINE_DEPTHS.size())),
        random.nextDouble() / 2,
        random.nextDouble() / 2,
        random.nextDouble() / 10,
        random.nextDouble() / 20,
        manyConnections ? SILENT_CONNECTIONS : 0);
    line("[[clients]]%nrate = %d", REQUESTS_PER_SECOND_PER_ROUTER * routerCount / 4);
  }

  private void writeRouterFault(Fault.Kind kind) {
    String router = "r" + (1 + random.nextInt(routerCount));
    int fromMillis =
        MIN_INTERVAL_MILLIS + random.nextInt(LATEST_FAULT_START_MILLIS - MIN_INTERVAL_MILLIS);
    int toMillis =
        Math.min(
            LENGTH_MILLIS,
            fromMillis + MIN_INTERVAL_MILLIS + random.nextInt(FAULT_LENGTH_RANGE_MILLIS));
    if (kind == Fault.Kind.ROUTER_RELOAD) {
      int reloads = 1 + random.nextInt(MAX_RELOADS);
      for (int i = 0; i < reloads; i++) {
        int atMillis = Math.min(LENGTH_MILLIS - 1, fromMillis + i * RELOAD_INTERVAL_MILLIS);
        writeFault(
            kind, atMillis, Math.min(LENGTH_MILLIS, atMillis + RELOAD_INTERVAL_MILLIS / 2), router);
      }
    } else if (affectedInstances.add(router)) {
      // One fault per router process: a killed router cannot be terminated or paused.
      writeFault(kind, fromMillis, toMillis, router);
    }
  }

  private void writeFault(Fault.Kind kind) {
    int fromMillis =
        MIN_INTERVAL_MILLIS + random.nextInt(LATEST_FAULT_START_MILLIS - MIN_INTERVAL_MILLIS);
    int toMillis =
        Math.min(
            LENGTH_MILLIS,
            fromMillis + MIN_INTERVAL_MILLIS + random.nextInt(FAULT_LENGTH_RANGE_MILLIS));
    if (kind.target() != Fault.Target.CACHE) {
      writeFault(kind, fromMillis, toMillis);
      return;
    }
    List<String> names = new ArrayList<>();
    for (int i = 1 + random.nextInt(CACHE_SERVER_COUNT / 3); i > 0; i--) {
      String name = Scenario.cacheServerName(random.nextInt(CACHE_SERVER_COUNT));
      // One fault per server: a killed or drained server cannot be killed or drained again.
      if (affectedInstances.add(name)) {
        names.add(name);
      }
    }
    if (!names.isEmpty()) {
      writeFault(kind, fromMillis, toMillis, names.toArray(String[]::new));
    }
  }

  private void writeFault(Fault.Kind kind, int fromMillis, int toMillis, String... targets) {
    line(
        "[[fault]]%nkind = \"%s\"%nfrom = \"%dms\"%nto = \"%dms\"",
        kind.word(), fromMillis, toMillis);
    if (targets.length > 0) {
      line("on = %s", ScenarioPrinter.quotedList(List.of(targets)));
    }
  }
}
