package beaconturn.cli;

import beaconturn.release.InstanceMetric;
import beaconturn.release.InstanceSample;
import java.io.IOException;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Reads the metrics of an instance at second addresses: of a router at its own, of a cache server
 * at those of the routers that use it, as they see how it does. Confined to the thread of the
 * agent.
 */
final class InstanceMetricsReader {
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long MILLION = 1_000_000;
  private static final long MILLIS_PER_SECOND = 1000;

  /** Metrics that routers count of a cache server. */
  private static final List<InstanceMetric> CACHE_METRICS =
      List.of(
          InstanceMetric.SERVED,
          InstanceMetric.FAILED,
          InstanceMetric.HITS,
          InstanceMetric.HIT_MICROS);

  private final String instanceId;
  private final boolean cache;
  private final List<String> addresses;

  /** Values of the last reading, by address. */
  private final Map<String, Map<String, Long>> lastValues = new HashMap<>();

  /** Sums over all readings. */
  private final Map<InstanceMetric, Long> sums = new EnumMap<>(InstanceMetric.class);

  private long lastReadNanos;

  /** Grows with each process of the router that was noticed. */
  private int process;

  /** A reader of a router at its address, or of a cache server at those of routers. */
  InstanceMetricsReader(String instanceId, boolean cache, List<String> addresses) {
    this.instanceId = instanceId;
    this.cache = cache;
    this.addresses = List.copyOf(addresses);
  }

  /**
   * The metrics as of now.
   *
   * @throws IOException if no address answers
   */
  InstanceSample read() throws IOException {
    return cache ? readCache() : readRouter();
  }

  private InstanceSample readRouter() throws IOException {
    String address = addresses.get(0);
    Map<String, Long> values = StatsClient.read(address, "show-stat");
    values.putAll(StatsClient.read(address, "show-health"));
    long nowNanos = System.nanoTime();
    Map<String, Long> before = lastValues.getOrDefault(address, Map.of());
    if (isAnotherProcess(values, before)) {
      process++;
      sums.clear();
      before = Map.of();
    }
    addReading(values);
    Map<InstanceMetric, Long> metrics = new EnumMap<>(sums);
    putCounters(metrics, values);
    putGauges(metrics, values, before, nowNanos);
    lastValues.put(address, values);
    lastReadNanos = nowNanos;
    return new InstanceSample(Integer.toString(process), metrics);
  }

  /** Counters run from the start of a process: where one falls, it is another process. */
  private static boolean isAnotherProcess(Map<String, Long> values, Map<String, Long> before) {
    return answers(values) < answers(before)
        || valueOf(values, "cpu_ms") < valueOf(before, "cpu_ms");
  }

  private void addReading(Map<String, Long> values) {
    add(InstanceMetric.READINGS, 1);
    long listed = Math.max(1, valueOf(values, "cluster_size"));
    add(InstanceMetric.AVOIDED_MILLIONTHS, valueOf(values, "cluster_unhealthy") * MILLION / listed);
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
      Map<String, Long> before,
      long nowNanos) {
    long elapsedMillis = Math.max(1, (nowNanos - lastReadNanos) / NANOS_PER_MILLI);
    if (!before.isEmpty()) {
      long answers = answers(values) - answers(before);
      long cpuMillis = valueOf(values, "cpu_ms") - valueOf(before, "cpu_ms");
      metrics.put(InstanceMetric.RESPONSES_PER_SECOND, answers * MILLIS_PER_SECOND / elapsedMillis);
      // Milliseconds of processor time in a second are thousandths of a core.
      metrics.put(InstanceMetric.CPU_MILLICORES, cpuMillis * MILLIS_PER_SECOND / elapsedMillis);
    }
    metrics.put(InstanceMetric.CPU_LIMIT_MILLICORES, valueOf(values, "cores_thousandth"));
    metrics.put(InstanceMetric.CONNECTIONS, valueOf(values, "connections"));
    metrics.put(InstanceMetric.MAX_CONNECTIONS, valueOf(values, "most_connections"));
  }

  /**
   * What routers have counted of the cache server since each of them was first read; the counts of
   * one that does not answer are added once it does.
   */
  private InstanceSample readCache() throws IOException {
    IOException failure = new IOException("no address is given");
    boolean answered = false;
    for (String address : addresses) {
      try {
        addCounted(address);
        answered = true;
      } catch (IOException e) {
        failure = e;
      }
    }
    if (!answered) {
      throw failure;
    }
    return new InstanceSample("", sums);
  }

  private void addCounted(String address) throws IOException {
    Map<String, Long> values = StatsClient.read(address, "show-health");
    Map<String, Long> before = lastValues.put(address, values);
    if (before == null) {
      before = values;
    }
    for (InstanceMetric metric : CACHE_METRICS) {
      String name = "cache_" + metric.serializedName() + "." + instanceId;
      long value = valueOf(values, name);
      long counted = value - valueOf(before, name);
      // A counter that has fallen is one of another process, and began at 0.
      add(metric, counted < 0 ? value : counted);
    }
  }

  private void add(InstanceMetric metric, long value) {
    sums.merge(metric, value, Long::sum);
  }

  private static long answers(Map<String, Long> values) {
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
