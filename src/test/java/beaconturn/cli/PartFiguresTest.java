package beaconturn.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import beaconturn.net.control.ControlAddress;
import beaconturn.net.control.Hand;
import beaconturn.net.control.HandFile;
import beaconturn.net.control.Office;
import beaconturn.release.Figure;
import beaconturn.release.Sample;
import beaconturn.stats.Counters;
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
class PartFiguresTest {
  private final AtomicReference<String> stat = new AtomicReference<>("");
  private final AtomicReference<String> health = new AtomicReference<>("");

  /** Figures of words such as {@code late=3}; null of null. */
  private static List<Counters.Figure> figures(String words) {
    return words == null
        ? null
        : Stream.of(words.split(" "))
            .map(w -> w.split("="))
            .map(w -> new Counters.Figure(w[0], Long.parseLong(w[1]), false))
            .toList();
  }

  private ControlAddress router(AtomicReference<String> healthOf) throws IOException {
    ControlAddress opened =
        new ControlAddress(
            new InetSocketAddress("127.0.0.1", 0),
            new Office() {
              @Override
              public String notReady() {
                return null;
              }

              @Override
              public List<Counters.Figure> health() {
                return figures(healthOf.get());
              }

              @Override
              public void hand(Hand hand, boolean told, Consumer<Boolean> known) {
                known.accept(false);
              }
            },
            new Counters() {
              @Override
              public List<Figure> read() {
                return figures(stat.get());
              }
            },
            new HandFile(null, false),
            System::nanoTime);
    Thread thread = new Thread(opened, "router");
    thread.setDaemon(true);
    thread.start();
    return opened;
  }

  private static String at(ControlAddress router) {
    return "127.0.0.1:" + router.address().getPort();
  }

  private static long of(Sample sample, Figure figure) {
    return sample.figures().getOrDefault(figure, 0L);
  }

  @Test
  void aRoutersFiguresGrowUntilItsProcessIsAnother() throws IOException {
    ControlAddress router = router(health);
    try {
      PartFigures figures = new PartFigures("r1", false, List.of(at(router)));
      stat.set(
          "answered.a=10 answered.b.c=5 deferred.a=1 errored.a=2 cluster_size=4"
              + " cluster_unhealthy=1");
      health.set("late=3 memory_kb=500 cpu_ms=100 connections=7");
      Sample first = figures.ask();
      assertEquals(15, of(first, Figure.GOOD));
      assertEquals(3, of(first, Figure.BAD));
      assertEquals(3, of(first, Figure.LATE));
      assertEquals(7, of(first, Figure.CONNECTIONS));
      Sample second = figures.ask();
      assertEquals(first.process(), second.process());
      assertEquals(2, of(second, Figure.READINGS));
      assertEquals(500_000, of(second, Figure.AVOIDED), "a quarter, twice");
      assertEquals(1000, of(second, Figure.MEMORY));
      // As many answers as before, and less processor time: it was restarted.
      health.set("late=0 memory_kb=400 cpu_ms=50");
      Sample third = figures.ask();
      assertEquals(1, of(third, Figure.READINGS));
      assertEquals(400, of(third, Figure.MEMORY));
      assertEquals(false, third.process().equals(second.process()));
      // A router that knows no such call, as it does not agree.
      health.set(null);
      assertEquals(15, of(figures.ask(), Figure.GOOD));
    } finally {
      router.close();
    }
  }

  @Test
  void aCacheServerIsWhatTheRoutersMakeOfItInSum() throws IOException {
    AtomicReference<String> other = new AtomicReference<>("");
    ControlAddress router = router(health);
    ControlAddress gone = router(other);
    String noMore = at(gone);
    try {
      PartFigures figures = new PartFigures("c.1", true, List.of(at(router), at(gone)));
      health.set("cache_good.c.1=100 cache_bad.c.1=3 cache_good.c.10=9");
      other.set("cache_good.c.1=50");
      assertEquals(0, of(figures.ask(), Figure.GOOD), "counted from when it was first asked");
      health.set("cache_good.c.1=110 cache_bad.c.1=5");
      other.set("cache_good.c.1=8");
      Sample grown = figures.ask();
      assertEquals(10 + 8, of(grown, Figure.GOOD), "the other router was restarted");
      assertEquals(2, of(grown, Figure.BAD));
      gone.close();
      awaitEnd(noMore);
      health.set("cache_good.c.1=111 cache_bad.c.1=5");
      assertEquals(19, of(figures.ask(), Figure.GOOD));
    } finally {
      router.close();
    }
    PartFigures nobody = new PartFigures("c.1", true, List.of(noMore));
    assertThrows(IOException.class, nobody::ask);
  }

  private static void awaitEnd(String address) {
    PartFigures probe = new PartFigures("r1", false, List.of(address));
    try {
      while (true) {
        probe.ask();
        Thread.onSpinWait();
      }
    } catch (IOException e) {
      // Nobody answers there any more.
    }
  }
}
