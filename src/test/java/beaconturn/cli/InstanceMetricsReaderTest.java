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

/** What agents make of second addresses, which show what the test has them show. */
@Timeout(30)
class InstanceMetricsReaderTest {
  private final AtomicReference<String> stat = new AtomicReference<>("");
  private final AtomicReference<String> health = new AtomicReference<>("");

  /** Figures of words such as {@code late=3}; null of null. */
  private static List<Metric> counters(String words) {
    return words == null
        ? null
        : Stream.of(words.split(" "))
            .map(w -> w.split("="))
            .map(w -> new Metric(w[0], Long.parseLong(w[1]), false))
            .toList();
  }

  private AdminServer router(AtomicReference<String> healthOf) throws IOException {
    AdminServer opened =
        new AdminServer(
            new InetSocketAddress("127.0.0.1", 0),
            new AdminOperations() {
              @Override
              public String notReadyReason() {
                return null;
              }

              @Override
              public List<Metric> health() {
                return counters(healthOf.get());
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
                return counters(stat.get());
              }
            },
            new ServerOverrideFile(null, false),
            System::nanoTime);
    Thread thread = new Thread(opened, "router");
    thread.setDaemon(true);
    thread.start();
    return opened;
  }

  private static String at(AdminServer router) {
    return "127.0.0.1:" + router.address().getPort();
  }

  private static long of(InstanceSample sample, InstanceMetric figure) {
    return sample.metrics().getOrDefault(figure, 0L);
  }

  @Test
  void aRoutersFiguresGrowUntilItsProcessIsAnother() throws IOException {
    AdminServer router = router(health);
    try {
      InstanceMetricsReader reader = new InstanceMetricsReader("r1", false, List.of(at(router)));
      stat.set(
          "answered.a=10 answered.b.c=5 deferred.a=1 errored.a=2 cluster_size=4"
              + " cluster_unhealthy=1");
      health.set("late=3 memory_kb=500 cpu_ms=100 connections=7");
      InstanceSample first = reader.read();
      assertEquals(15, of(first, InstanceMetric.SERVED));
      assertEquals(3, of(first, InstanceMetric.FAILED));
      assertEquals(3, of(first, InstanceMetric.LATE));
      assertEquals(7, of(first, InstanceMetric.CONNECTIONS));
      InstanceSample second = reader.read();
      assertEquals(first.process(), second.process());
      assertEquals(2, of(second, InstanceMetric.READINGS));
      assertEquals(500_000, of(second, InstanceMetric.AVOIDED_MILLIONTHS), "a quarter, twice");
      assertEquals(1000, of(second, InstanceMetric.MEMORY_KB));
      // As many answers as before, and less processor time: it was restarted.
      health.set("late=0 memory_kb=400 cpu_ms=50");
      InstanceSample third = reader.read();
      assertEquals(1, of(third, InstanceMetric.READINGS));
      assertEquals(400, of(third, InstanceMetric.MEMORY_KB));
      assertEquals(false, third.process().equals(second.process()));
      // A router that knows no such call, as it does not agree.
      health.set(null);
      assertEquals(15, of(reader.read(), InstanceMetric.SERVED));
    } finally {
      router.close();
    }
  }

  @Test
  void aCacheServerIsWhatTheRoutersMakeOfItInSum() throws IOException {
    AtomicReference<String> other = new AtomicReference<>("");
    AdminServer router = router(health);
    AdminServer gone = router(other);
    String noMore = at(gone);
    try {
      InstanceMetricsReader reader =
          new InstanceMetricsReader("c.1", true, List.of(at(router), at(gone)));
      health.set("cache_good.c.1=100 cache_bad.c.1=3 cache_good.c.10=9");
      other.set("cache_good.c.1=50");
      assertEquals(
          0, of(reader.read(), InstanceMetric.SERVED), "counted from when it was first asked");
      health.set("cache_good.c.1=110 cache_bad.c.1=5");
      other.set("cache_good.c.1=8");
      InstanceSample grown = reader.read();
      assertEquals(10 + 8, of(grown, InstanceMetric.SERVED), "the other router was restarted");
      assertEquals(2, of(grown, InstanceMetric.FAILED));
      gone.close();
      awaitEnd(noMore);
      health.set("cache_good.c.1=111 cache_bad.c.1=5");
      assertEquals(19, of(reader.read(), InstanceMetric.SERVED));
    } finally {
      router.close();
    }
    InstanceMetricsReader nobody = new InstanceMetricsReader("c.1", true, List.of(noMore));
    assertThrows(IOException.class, nobody::read);
  }

  private static void awaitEnd(String address) {
    InstanceMetricsReader probe = new InstanceMetricsReader("r1", false, List.of(address));
    try {
      while (true) {
        probe.read();
        Thread.onSpinWait();
      }
    } catch (IOException e) {
      // Nobody answers there any more.
    }
  }
}
