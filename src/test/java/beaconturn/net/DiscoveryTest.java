package beaconturn.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beaconturn.core.ListNews;
import beaconturn.core.Message;
import beaconturn.core.Samples;
import beaconturn.decision.Routing;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Watches of the list that fall silent. */
@Timeout(60)
class DiscoveryTest {
    private final BlockingQueue<Message> module = new LinkedBlockingQueue<>();
    private final CountDownLatch over = new CountDownLatch(1);

    private void watching(Peer registry) {
        Discovery discovery = new Discovery(registry.address(), new ListReader(Samples.read()), 4,
            module::add, () -> 0, new WatchTimes(new SplittableRandom(1), 40, 40));
        discovery.start();
        discovery.watch(true);
    }

    private ListNews news() throws InterruptedException {
        return ((Message.News) module.poll(20, TimeUnit.SECONDS)).news();
    }

    /** What it misses counts as told 2 s after its wait: a module that only then backs off asks too late. */
    @Test
    void aSilentWatchIsOpenedAnewAtOnceAndIsNoFailure() throws Exception {
        try (Peer registry = new Peer(line -> {
            line.note(line.httpHead().split(" ")[1]);
            if (line.first()) {
                over.await();
            }
            line.http(200, "{\"seq\":5,\"whole\":false,\"hosts\":[]}");
            over.await();
        })) {
            watching(registry);
            assertTrue(registry.note().startsWith("/registry/instances?after=4&wait_ms="));
            assertTrue(registry.note().startsWith("/registry/instances?after=4&wait_ms="));
            ListNews first = news();
            assertEquals(Routing.ListKind.DELTA, first.kind());
            assertEquals(5, first.version());
        } finally {
            over.countDown();
        }
    }

    /** A discovery that is gone is left to the module, which waits longer each time. */
    @Test
    void aWatchThatIsRefusedIsAFailure() throws Exception {
        Peer registry = new Peer(line -> { });
        registry.close();
        watching(registry);
        assertEquals(Routing.ListKind.FAILED, news().kind());
    }

    /** Routers that start together must not all call again at once, nor after they count as told. */
    @Test
    void waitsAreSpreadAndLeaveTimeToAskAgain() {
        List<List<Integer>> waits = IntStream.range(0, 50).mapToObj(seed -> {
            WatchTimes times = WatchTimes.of(seed);
            assertTrue(times.slack() <= 1000);
            return List.of(times.next(), times.next());
        }).toList();
        assertTrue(waits.stream().map(w -> w.get(0)).distinct().count() > 45, waits::toString);
        waits.forEach(w -> {
            assertNotEquals(w.get(0), w.get(1));
            assertTrue(w.get(0) >= 15_000 && w.get(0) <= 20_000, w::toString);
        });
    }
}
