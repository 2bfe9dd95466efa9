package beaconturn.cli;

import beaconturn.release.InstanceMetric;
import beaconturn.release.InstanceSample;
import java.io.IOException;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Reads the metrics of an instance from admin addresses of routers: those of a router from its own
 * address, those of a cache server from the routers that use it. Confined to the agent's thread.
 */
final class InstanceMetricsReader {
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long MILLIONTHS = 1_000_000;
  private static final long MILLIS_PER_SECOND = 1000;

  /** Metrics of a cache server that routers count. */
  private static final List<InstanceMetric> CACHE_METRICS =
      List.of(
          InstanceMetric.SERVED,
          InstanceMetric.FAILED,
          InstanceMetric.HITS,
          InstanceMetric.HIT_MICROS);

  private final String instanceId;
  private final boolean cache;
  private final List<String> addresses;

  /** Values of the last reading by address. */
  private final Map<String, Map<String, Long>> lastValues = new HashMap<>();

  /** Sums over all readings, for a router since its last detected restart. */
  private final Map<InstanceMetric, Long> sums = new EnumMap<>(InstanceMetric.class);

  private long lastReadNanos;

  /** Number of restarts of the router that were detected. */
  private int processNumber;

  /** Takes the address of the router, or the addresses of the routers that use the cache server. */
  InstanceMetricsReader(String instanceId, boolean cache, List<String> addresses) {
    this.instanceId = instanceId;
    this.cache = cache;
    this.addresses = List.copyOf(addresses);
  }

  /**
   * Reads the current metrics.
   *
   * @throws IOException if no router responds
   */
  InstanceSample read() throws IOException {
    return cache ? readCache() : readRouter();
  }

  private InstanceSample readRouter() throws IOException {
    String address = addresses.get(0);
    Map<String, Long> values = StatsClient.read(address, "show-stat");
    values.putAll(StatsClient.read(address, "show-health"));
    long nowNanos = System.nanoTime();
    Map<String, Long> previousValues = lastValues.getOrDefault(address, Map.of());
    if (isNewProcess(values, previousValues)) {
      processNumber++;
      sums.clear();
      previousValues = Map.of();
    }
    addReading(values);
    Map<InstanceMetric, Long> metrics = new EnumMap<>(sums);
    putCounters(metrics, values);
    putGauges(metrics, values, previousValues, nowNanos);
    lastValues.put(address, values);
    lastReadNanos = nowNanos;
    return new InstanceSample(Integer.toString(processNumber), metrics);
  }

  /** Counters start at 0 with the process: one that decreases belongs to a new process. */
  private static boolean isNewProcess(Map<String, Long> values, Map<String, Long> previousValues) {
    return responses(values) < responses(previousValues)
        || valueOf(values, "cpu_ms") < valueOf(previousValues, "cpu_ms");
  }

  private void addReading(Map<String, Long> values) {
    add(InstanceMetric.READINGS, 1);
    long listedServers = Math.max(1, valueOf(values, "cluster_size"));
    add(
        InstanceMetric.AVOIDED_MILLIONTHS,
        valueOf(values, "cluster_unhealthy") * MILLIONTHS / listedServers);
    add(InstanceMetric.MEMORY_KB, valueOf(values, "memory_kb"));
  }

  private static void putCounters(Map<InstanceMetric, Long> metrics, Map<String, Long> values) {
    metrics.put(InstanceMetric.SERVED, sumOf(values, "answered."));
    metrics.put(InstanceMetric.FAILED, sumOf(values, "deferred.") + sumOf(values, "errored."));
    metrics.put(InstanceMetric.LATE, valueOf(values, "late"));
    metrics.put(InstanceMetric.HITS, valueOf(values, "hits"));
    metrics.put(InstanceMetric.MISSES, valueOf(values, "misses"));
  }

  private void putGauges(
      Map<InstanceMetric, Long> metrics,
      Map<String, Long> values,
      Map<String, Long> previousValues,
      long nowNanos) {
    long elapsedMillis = Math.max(1, (nowNanos - lastReadNanos) / NANOS_PER_MILLI);
    if (!previousValues.isEmpty()) {
      long responses = responses(values) - responses(previousValues);
      long cpuMillis = valueOf(values, "cpu_ms") - valueOf(previousValues, "cpu_ms");
      metrics.put(
          InstanceMetric.RESPONSES_PER_SECOND, responses * MILLIS_PER_SECOND / elapsedMillis);
      // Milliseconds of processor time per second are thousandths of a core.
      metrics.put(InstanceMetric.CPU_MILLICORES, cpuMillis * MILLIS_PER_SECOND / elapsedMillis);
    }
    metrics.put(InstanceMetric.CPU_LIMIT_MILLICORES, valueOf(values, "cores_thousandth"));
    metrics.put(InstanceMetric.CONNECTIONS, valueOf(values, "connections"));
    metrics.put(InstanceMetric.MAX_CONNECTIONS, valueOf(values, "most_connections"));
  }

  /**
   * Sums the counters of all routers for the cache server since the first reading of each router.
   * Counts of a router that does not respond are added once the router responds again.
   */
  private InstanceSample readCache() throws IOException {
    IOException failure = new IOException("no admin address is given");
    boolean anyResponse = false;
    for (String address : addresses) {
      try {
        addCacheCounts(address);
        anyResponse = true;
      } catch (IOException e) {
        failure = e;
      }
    }
    if (!anyResponse) {
      throw failure;
    }
    return new InstanceSample("", sums);
  }

  private void addCacheCounts(String address) throws IOException {
    Map<String, Long> values = StatsClient.read(address, "show-health");
    Map<String, Long> previousValues = lastValues.put(address, values);
    if (previousValues == null) {
      previousValues = values;
    }
    for (InstanceMetric metric : CACHE_METRICS) {
      String name = "cache_" + metric.serializedName() + "." + instanceId;
      long value = valueOf(values, name);
      long increase = value - valueOf(previousValues, name);
      // A counter that has decreased belongs to a new process and started at 0.
      add(metric, increase < 0 ? value : increase);
    }
  }

  private void add(InstanceMetric metric, long value) {
    sums.merge(metric, value, Long::sum);
  }

  private static long responses(Map<String, Long> values) {
    return sumOf(values, "answered.") + sumOf(values, "deferred.") + sumOf(values, "errored.");
  }

  private static long sumOf(Map<String, Long> values, String prefix) {
    return values.entrySet().stream()
        .filter(value -> value.getKey().startsWith(prefix))
        .mapToLong(Map.Entry::getValue)
        .sum();
  }

  private static long valueOf(Map<String, Long> values, String name) {
    return values.getOrDefault(name, 0L);
  }
}
