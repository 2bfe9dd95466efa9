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
 * Health metrics for the agents of a rollout, in addition to the counters of the admin address:
 * lateness of responses, resources in use, and the results of each cache server. Only where routers
 * agree. For any thread.
 */
final class HealthMetrics {
  private static final Path PROCESS_STATUS = Path.of("/proc/self/status");
  private static final String RESIDENT_MEMORY = "VmRSS:";
  private static final int THOUSANDTHS = 1000;
  private static final long NANOS_PER_MILLI = 1_000_000;

  private final HealthCounters counters;
  private final IntSupplier connections;
  private final IntSupplier maxConnections;

  /** Names of the cache servers by id; replaced completely on a change. */
  private volatile SortedMap<Long, String> serverNames = new TreeMap<>();

  /**
   * Creates metrics with nothing counted.
   *
   * @param clock the router's clock, in nanoseconds
   * @param connections number of open client connections
   * @param maxConnections limit of client connections
   */
  HealthMetrics(LongSupplier clock, IntSupplier connections, IntSupplier maxConnections) {
    this.counters = new HealthCounters(clock);
    this.connections = connections;
    this.maxConnections = maxConnections;
  }

  /** Counts requests and attempts. */
  Counters counters() {
    return counters;
  }

  /** Sets the known cache servers. */
  void setServers(Collection<CacheServerClients.ListedServer> servers) {
    SortedMap<Long, String> names = new TreeMap<>();
    servers.forEach(server -> names.put(Fnv1a.of(server.name()), server.name()));
    serverNames = names;
  }

  /** Returns the current values of all metrics. */
  List<Metric> read() {
    List<Metric> all = new ArrayList<>(counters.health(serverNames));
    long cores = Runtime.getRuntime().availableProcessors();
    all.add(new Metric("memory_kb", residentKb(), true));
    all.add(new Metric("cpu_ms", ProcessPauseDetector.cpuTimeNanos() / NANOS_PER_MILLI, false));
    all.add(new Metric("cores_thousandth", cores * THOUSANDTHS, true));
    all.add(new Metric("connections", connections.getAsInt(), true));
    all.add(new Metric("most_connections", maxConnections.getAsInt(), true));
    return all;
  }

  /** Resident memory from the kernel (proc(5)), or 0 if it is not available. */
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
