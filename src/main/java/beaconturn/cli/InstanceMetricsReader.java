package beaconturn.cli;

import beaconturn.release.InstanceMetrics;
import beaconturn.release.InstanceSample;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * How a part does, asked at second addresses: a router's at its own, a cache server's at those of
 * the routers that use it, as what a server says of itself is worth little.
 */
final class InstanceMetricsReader {
  private static final int PATIENCE_MILLIS = 1000;
  private static final long MILLI = 1_000_000;
  private static final long MILLION = 1_000_000;
  private static final long THOUSAND = 1000;
  private static final String PREFIX = "app.";
  private final String part;
  private final boolean cache;
  private final List<String> addresses;

  /** What each address has told last, and of a cache server what all have told in sum. */
  private final Map<String, Map<String, Long>> last = new HashMap<>();

  private final Map<InstanceMetrics, Long> sums = new EnumMap<>(InstanceMetrics.class);
  private long askedAt;
  private int process;

  /** Of a router at the one address, or of a cache server at several. */
  InstanceMetricsReader(String part, boolean cache, List<String> addresses) {
    this.part = part;
    this.cache = cache;
    this.addresses = List.copyOf(addresses);
  }

  /** What is known now; fails where nobody answers. */
  InstanceSample ask() throws IOException {
    return cache ? ofCache() : ofRouter();
  }

  /** Counters run from the start of the process: those that fall tell of another one. */
  private InstanceSample ofRouter() throws IOException {
    Map<String, Long> now = call(addresses.get(0), "show-stat");
    now.putAll(call(addresses.get(0), "show-health"));
    long at = System.nanoTime();
    Map<String, Long> before = last.getOrDefault(part, Map.of());
    if (answers(now) < answers(before) || of(now, "cpu_ms") < of(before, "cpu_ms")) {
      process++;
      sums.clear();
      before = Map.of();
    }
    add(InstanceMetrics.READINGS, 1);
    add(
        InstanceMetrics.AVOIDED,
        of(now, "cluster_unhealthy") * MILLION / Math.max(1, of(now, "cluster_size")));
    add(InstanceMetrics.MEMORY, of(now, "memory_kb"));
    Map<InstanceMetrics, Long> all = new EnumMap<>(sums);
    all.put(InstanceMetrics.GOOD, sum(now, "answered."));
    all.put(InstanceMetrics.BAD, sum(now, "deferred.") + sum(now, "errored."));
    all.put(InstanceMetrics.LATE, of(now, "late"));
    all.put(InstanceMetrics.HITS, of(now, "hits"));
    all.put(InstanceMetrics.MISSES, of(now, "misses"));
    long millis = Math.max(1, (at - askedAt) / MILLI);
    if (!before.isEmpty()) {
      all.put(InstanceMetrics.RATE, (answers(now) - answers(before)) * THOUSAND / millis);
      all.put(InstanceMetrics.BUSY, (of(now, "cpu_ms") - of(before, "cpu_ms")) * THOUSAND / millis);
    }
    all.put(InstanceMetrics.CORES, of(now, "cores_thousandth"));
    all.put(InstanceMetrics.CONNECTIONS, of(now, "connections"));
    all.put(InstanceMetrics.MOST_CONNECTIONS, of(now, "most_connections"));
    last.put(part, now);
    askedAt = at;
    return new InstanceSample(Integer.toString(process), all);
  }

  /**
   * What routers count of it, from when each of them was first asked; one that is gone tells later.
   */
  private InstanceSample ofCache() throws IOException {
    IOException failed = null;
    int told = 0;
    for (String address : addresses) {
      try {
        Map<String, Long> now = call(address, "show-health");
        Map<String, Long> before = last.put(address, now);
        for (InstanceMetrics figure :
            List.of(
                InstanceMetrics.GOOD,
                InstanceMetrics.BAD,
                InstanceMetrics.HITS,
                InstanceMetrics.HIT_MICROS)) {
          String name = "cache_" + figure.name().toLowerCase(Locale.ROOT) + "." + part;
          long grown = of(now, name) - (before == null ? of(now, name) : of(before, name));
          // Of another process all is new.
          add(figure, grown < 0 ? of(now, name) : grown);
        }
        told++;
      } catch (IOException e) {
        failed = e;
      }
    }
    if (told == 0) {
      throw failed == null ? new IOException("no address is given") : failed;
    }
    return new InstanceSample("", sums);
  }

  private void add(InstanceMetrics figure, long value) {
    sums.merge(figure, value, Long::sum);
  }

  private static long answers(Map<String, Long> told) {
    return sum(told, "answered.") + sum(told, "deferred.") + sum(told, "errored.");
  }

  private static long sum(Map<String, Long> told, String prefix) {
    return told.entrySet().stream()
        .filter(e -> e.getKey().startsWith(prefix))
        .mapToLong(Map.Entry::getValue)
        .sum();
  }

  private static long of(Map<String, Long> told, String name) {
    return told.getOrDefault(name, 0L);
  }

  /** The lines of StatsD by their names; none where the router knows no such call. */
  private static Map<String, Long> call(String address, String call) throws IOException {
    int colon = address.lastIndexOf(':');
    Map<String, Long> told = new HashMap<>();
    try (Socket socket = new Socket()) {
      socket.connect(
          new InetSocketAddress(
              address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
          PATIENCE_MILLIS);
      socket.setSoTimeout(PATIENCE_MILLIS);
      socket.getOutputStream().write((call + "\n").getBytes(StandardCharsets.US_ASCII));
      BufferedReader lines =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
      for (String line = lines.readLine();
          line != null && !line.equals("--");
          line = lines.readLine()) {
        int value = line.lastIndexOf(':');
        int type = line.lastIndexOf('|');
        if (line.startsWith(PREFIX) && value > 0 && type > value) {
          told.put(
              line.substring(PREFIX.length(), value),
              Long.parseLong(line.substring(value + 1, type)));
        }
      }
    } catch (NumberFormatException e) {
      throw new IOException("figures that cannot be read", e);
    }
    return told;
  }
}
