package beaconturn.net;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beaconturn.core.Attempt;
import beaconturn.core.Call;
import beaconturn.core.Clock;
import beaconturn.core.ListNews;
import beaconturn.core.Samples;
import beaconturn.decision.Routing;
import beaconturn.protocol.Slice;
import beaconturn.stats.Tally;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

class CacheFleetTest {
    private static final long SECOND = 1_000_000_000;
    private final Clock clock = Clock.system();
    private final CacheFleet fleet = new CacheFleet(new CacheServer.Site(clock, message -> { },
        new Places(9), new ReplyReader(Samples.read().routing()), SECOND, SECOND / 100, Tally.NONE));

    private static ListNews.Member member(long id, Routing.Health health, Peer peer) {
        return new ListNews.Member(new Routing.ServerEntry(id, 0, 0, 0, health, 1, 0), "fleet-" + id,
            peer.dial());
    }

    private Attempt attempt(long server) {
        Call call = new ClientCall(new Call.Ask(0, 1, false, false, 0, 0, 0), clock.now() + 100 * SECOND,
            new RequestParser.Parts(Slice.of("$5\r\nC.GET\r\n$1\r\na\r\n$2\r\nid\r\n"), Map.of("d", "1"),
                null), CacheServerTest.READ, () -> { });
        return new Attempt(1, 0, server, call, clock.now(), 100 * SECOND);
    }

    private static boolean runs(String thread) {
        return Thread.getAllStackTraces().keySet().stream().anyMatch(t -> t.getName().equals(thread));
    }

    /** On a long day servers go again and again; the thread of each must go with it, news or not. */
    @Test
    @Timeout(60)
    void theActorOfAServerThatIsGoneEndsWithoutFurtherNews() {
        try (Peer peer = new Peer(line -> {
            while (!line.command().equals("end")) {
                line.write("*3\r\n$2\r\nva\r\n$3\r\nhit\r\n$-1\r\n");
            }
        })) {
            fleet.follow(new ListNews(1, Routing.ListKind.FULL, List.of(
                member(1, Routing.Health.READY, peer), member(2, Routing.Health.READY, peer))));
            assertTrue(fleet.send(attempt(1)));
            assertTrue(runs("server-fleet-1"));
            fleet.follow(new ListNews(2, Routing.ListKind.DELTA, List.of(
                member(1, Routing.Health.GONE, peer))));
            assertFalse(fleet.send(attempt(1)), "nothing is sent to a server that is gone");
            Attempt givenUp = attempt(2);
            givenUp.end();
            while (runs("server-fleet-1")) {
                fleet.send(givenUp);
                Thread.onSpinWait();
            }
            assertTrue(runs("server-fleet-2"));
        }
    }
}
