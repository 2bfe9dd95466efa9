package beaconturn.net;

import beaconturn.core.CacheServerClients;
import beaconturn.net.io.Fnv1a;
import beaconturn.stats.Counters;
import beaconturn.stats.HealthCounters;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;

/**
 * What the agents of a release ask of a router beyond the figures that operators know: how late it
 * answers, what it holds, and how each cache server answers it. Only where routers agree.
 */
final class HealthMetrics {
  private static final Path STATUS = Path.of("/proc/self/status");
  private static final String RESIDENT = "VmRSS:";
  private static final int THOUSAND = 1000;
  private static final long MILLI = 1_000_000;
  private final HealthCounters counters;
  private final IntSupplier connections;
  private final IntSupplier mostConnections;
  private volatile SortedMap<Long, String> names = new TreeMap<>();

  /** By the router's clock; of clients so many connections are open, and so many may be. */
  HealthMetrics(LongSupplier clock, IntSupplier connections, IntSupplier mostConnections) {
    this.counters = new HealthCounters(clock);
    this.connections = connections;
    this.mostConnections = mostConnections;
  }

  /** Where they are counted, and what operators know beside them. */
  Counters counters() {
    return counters;
  }

  /** The cache servers that are known now; any thread. */
  void knows(Collection<CacheServerClients.ListedServer> servers) {
    SortedMap<Long, String> all = new TreeMap<>();
    servers.forEach(s -> all.put(Fnv1a.of(s.name()), s.name()));
    names = all;
  }

  /** All of them as they are now. */
  List<Counters.Figure> read() {
    List<Counters.Figure> all = new ArrayList<>(counters.health(names));
    all.add(new Counters.Figure("memory_kb", resident(), true));
    all.add(new Counters.Figure("cpu_ms", ProcessPauseDetector.ownProcessorTime() / MILLI, false));
    all.add(
        new Counters.Figure(
            "cores_thousandth",
            (long) Runtime.getRuntime().availableProcessors() * THOUSAND,
            true));
    all.add(new Counters.Figure("connections", connections.getAsInt(), true));
    all.add(new Counters.Figure("most_connections", mostConnections.getAsInt(), true));
    return all;
  }

  /** Resident memory in kB, as the kernel accounts for it (proc(5)); 0 where it does not tell. */
  private static long resident() {
    try {
      return Files.readAllLines(STATUS).stream()
          .filter(l -> l.startsWith(RESIDENT))
          .mapToLong(l -> Long.parseLong(l.replaceAll("[^0-9]", "")))
          .findFirst()
          .orElse(0);
    } catch (IOException e) {
      return 0;
    }
  }
}
