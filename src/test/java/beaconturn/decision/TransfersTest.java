package beaconturn.decision;

import static beaconturn.decision.Harness.MS;
import static beaconturn.decision.Harness.READ;
import static beaconturn.decision.Harness.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;

import beaconturn.decision.Routing.Ending;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Answers that clients take their time for: what they may hold meanwhile, where caches fetch. */
class TransfersTest {
    private static final int TRANSFERS = 40;
    private final Harness h = new Harness(Harness.settings(false));

    TransfersTest() {
        h.caches(10);
    }

    private void begins(Harness.Send send) {
        h.router.handle(h.now, new Routing.FirstByte(send.request(), 20 * MS, send.server(), 0));
    }

    private void begun(int request, long key) {
        h.arrive(request, READ, key);
        begins(h.last());
    }

    @Test
    void whoWaitsForTheKeyOfATransferGoesToItsCacheAtTheFirstBytes() {
        h.arrive(1, READ, 77);
        Harness.Send leader = h.last();
        h.arrive(2, READ, 77);
        assertEquals(1, h.sends.size(), "one fetch a key");
        begins(leader);
        assertEquals(List.of(2L, leader.server()), List.of(h.last().request(), h.last().server()));
        h.close(leader, 0, Ending.OK, true);
        assertEquals(2, h.sends.size());
        assertEquals(List.of(), h.refused);
    }

    /** After a spell of late answers the gate's limit is a part of what caches were at work on. */
    @Test
    void transfersTakeNoPlaceInTheGates() {
        for (int i = 1; i <= TRANSFERS; i++) {
            begun(i, i);
        }
        h.reads(100, 160, SECOND, (send, attempt) -> h.close(send, attempt, Ending.OK, true, SECOND));
        h.refused.clear();
        h.arrive(200, READ, 200);
        assertEquals(List.of(), h.refused);
    }

    /** The mechanism's load stays own sends in flight: a transfer still counts for the walk. */
    @Test
    void transfersStayInTheLoadOfTheRing() {
        long home = h.home(5);
        begun(1, 5);
        begun(2, 5);
        h.arrive(3, READ, 5);
        assertEquals(true, h.last().server() != home, "two are its cap among ten caches at rest");
    }
}
