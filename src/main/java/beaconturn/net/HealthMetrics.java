package beaconturn.net;

import beaconturn.core.CacheServerClients;
import beaconturn.net.io.Fnv1a;
import beaconturn.stats.Counters;
import beaconturn.stats.HealthCounters;
import beaconturn.stats.Metric;
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
 * Health metrics that agents of a release ask a router for, beside the counters of the admin
 * address: how late it answers, what resources it holds, and how each cache server answers it. Only
 * where routers agree. Safe for any thread.
 */
final class HealthMetrics {
  private static final Path PROCESS_STATUS = Path.of("/proc/self/status");
  private static final String RESIDENT_MEMORY = "VmRSS:";
  private static final int THOUSANDTHS = 1000;
  private static final long NANOS_PER_MILLI = 1_000_000;

  private final HealthCounters counters;
  private final IntSupplier connections;
  private final IntSupplier mostConnections;

  /** Names of the cache servers by their ids; replaced as a whole. */
  private volatile SortedMap<Long, String> serverNames = new TreeMap<>();

  /**
   * Metrics with nothing counted.
   *
   * @param clock the router's, in nanoseconds
   * @param connections open connections of clients
   * @param mostConnections how many there may be
   */
  HealthMetrics(LongSupplier clock, IntSupplier connections, IntSupplier mostConnections) {
    this.counters = new HealthCounters(clock);
    this.connections = connections;
    this.mostConnections = mostConnections;
  }

  /** Where requests and attempts are counted. */
  Counters counters() {
    return counters;
  }

  /** Sets the cache servers that are known now. */
  void servers(Collection<CacheServerClients.ListedServer> servers) {
    SortedMap<Long, String> names = new TreeMap<>();
    servers.forEach(server -> names.put(Fnv1a.of(server.name()), server.name()));
    serverNames = names;
  }

  /** All of them as they are now. */
  List<Metric> read() {
    List<Metric> all = new ArrayList<>(counters.health(serverNames));
    long cores = Runtime.getRuntime().availableProcessors();
    all.add(new Metric("memory_kb", residentKb(), true));
    all.add(
        new Metric("cpu_ms", ProcessPauseDetector.processorTimeNanos() / NANOS_PER_MILLI, false));
    all.add(new Metric("cores_thousandth", cores * THOUSANDTHS, true));
    all.add(new Metric("connections", connections.getAsInt(), true));
    all.add(new Metric("most_connections", mostConnections.getAsInt(), true));
    return all;
  }

  /** Resident memory as the kernel accounts for it (proc(5)); 0 where it does not tell. */
  private static long residentKb() {
    try {
      return Files.readAllLines(PROCESS_STATUS).stream()
          .filter(line -> line.startsWith(RESIDENT_MEMORY))
          .mapToLong(line -> Long.parseLong(line.replaceAll("[^0-9]", "")))
          .findFirst()
          .orElse(0);
    } catch (IOException e) {
      return 0;
    }
  }
}
