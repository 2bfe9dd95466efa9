package beaconturn.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import beaconturn.net.control.AdminOperations;
import beaconturn.net.control.AdminServer;
import beaconturn.net.control.ServerOverride;
import beaconturn.net.control.ServerOverrideFile;
import beaconturn.release.InstanceMetric;
import beaconturn.release.InstanceSample;
import beaconturn.stats.Counters;
import beaconturn.stats.Metric;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Reads metrics from admin servers whose values the test sets. */
@Timeout(30)
class InstanceMetricsReaderTest {
  private final AtomicReference<String> stats = new AtomicReference<>("");
  private final AtomicReference<String> health = new AtomicReference<>("");

  /** Parses metrics such as {@code late=3 cpu_ms=100}; returns null for null. */
  private static List<Metric> counters(String text) {
    return text == null
        ? null
        : Stream.of(text.split(" "))
            .map(nameAndValue -> nameAndValue.split("="))
            .map(
                nameAndValue -> new Metric(nameAndValue[0], Long.parseLong(nameAndValue[1]), false))
            .toList();
  }

  private AdminServer router(AtomicReference<String> reportedHealth) throws IOException {
    AdminServer server =
        new AdminServer(
            new InetSocketAddress("127.0.0.1", 0),
            new AdminOperations() {
              @Override
              public String notReadyReason() {
                return null;
              }

              @Override
              public List<Metric> health() {
                return counters(reportedHealth.get());
              }

              @Override
              public void applyOverride(
                  ServerOverride override, boolean fromElsewhere, Consumer<Boolean> known) {
                known.accept(false);
              }
            },
            new Counters() {
              @Override
              public List<Metric> read() {
                return counters(stats.get());
              }
            },
            new ServerOverrideFile(null, false),
            System::nanoTime);
    Thread thread = new Thread(server, "router");
    thread.setDaemon(true);
    thread.start();
    return server;
  }

  private static String addressOf(AdminServer router) {
    return "127.0.0.1:" + router.address().getPort();
  }

  private static long valueOf(InstanceSample sample, InstanceMetric metric) {
    return sample.metrics().getOrDefault(metric, 0L);
  }

  @Test
  void accumulatesRouterMetricsUntilProcessRestarts() throws IOException {
    AdminServer router = router(health);
    try {
      InstanceMetricsReader reader =
          new InstanceMetricsReader("r1", false, List.of(addressOf(router)));
      stats.set(
          "answered.a=10 answered.b.c=5 deferred.a=1 errored.a=2 cluster_size=4"
              + " cluster_unhealthy=1");
      health.set("late=3 memory_kb=500 cpu_ms=100 connections=7");
      InstanceSample first = reader.read();
      assertEquals(15, valueOf(first, InstanceMetric.SERVED));
      assertEquals(3, valueOf(first, InstanceMetric.FAILED));
      assertEquals(3, valueOf(first, InstanceMetric.LATE));
      assertEquals(7, valueOf(first, InstanceMetric.CONNECTIONS));
      InstanceSample second = reader.read();
      assertEquals(first.process(), second.process());
      assertEquals(2, valueOf(second, InstanceMetric.READINGS));
      assertEquals(
          500_000,
          valueOf(second, InstanceMetric.AVOIDED_MILLIONTHS),
          "a quarter in each of two readings");
      assertEquals(1000, valueOf(second, InstanceMetric.MEMORY_KB));
      // The same number of responses with less processor time indicates a restart.
      health.set("late=0 memory_kb=400 cpu_ms=50");
      InstanceSample third = reader.read();
      assertEquals(1, valueOf(third, InstanceMetric.READINGS));
      assertEquals(400, valueOf(third, InstanceMetric.MEMORY_KB));
      assertEquals(false, third.process().equals(second.process()));
      // A router without the agreement does not support show-health.
      health.set(null);
      assertEquals(15, valueOf(reader.read(), InstanceMetric.SERVED));
    } finally {
      router.close();
    }
  }

  @Test
  void sumsCacheServerMetricsOverRouters() throws IOException {
    AtomicReference<String> secondHealth = new AtomicReference<>("");
    AdminServer router = router(health);
    AdminServer secondRouter = router(secondHealth);
    String secondAddress = addressOf(secondRouter);
    try {
      InstanceMetricsReader reader =
          new InstanceMetricsReader(
              "c.1", true, List.of(addressOf(router), addressOf(secondRouter)));
      health.set("cache_good.c.1=100 cache_bad.c.1=3 cache_good.c.10=9");
      secondHealth.set("cache_good.c.1=50");
      assertEquals(
          0, valueOf(reader.read(), InstanceMetric.SERVED), "counted from the first reading on");
      health.set("cache_good.c.1=110 cache_bad.c.1=5");
      secondHealth.set("cache_good.c.1=8");
      InstanceSample increased = reader.read();
      assertEquals(
          10 + 8, valueOf(increased, InstanceMetric.SERVED), "the other router was restarted");
      assertEquals(2, valueOf(increased, InstanceMetric.FAILED));
      secondRouter.close();
      awaitShutdown(secondAddress);
      health.set("cache_good.c.1=111 cache_bad.c.1=5");
      assertEquals(19, valueOf(reader.read(), InstanceMetric.SERVED));
    } finally {
      router.close();
    }
    InstanceMetricsReader unreachableReader =
        new InstanceMetricsReader("c.1", true, List.of(secondAddress));
    assertThrows(IOException.class, unreachableReader::read);
  }

  private static void awaitShutdown(String address) {
    InstanceMetricsReader probe = new InstanceMetricsReader("r1", false, List.of(address));
    try {
      while (true) {
        probe.read();
        Thread.onSpinWait();
      }
    } catch (IOException e) {
      // The server no longer accepts connections.
    }
  }
}
