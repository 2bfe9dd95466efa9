package beaconturn.decision;

import static beaconturn.decision.Harness.MS;
import static beaconturn.decision.Harness.READ;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beaconturn.decision.Routing.Ending;
import beaconturn.decision.Routing.Health;
import beaconturn.decision.Routing.ListKind;
import java.util.List;
import org.junit.jupiter.api.Test;

/** What does not hold at every deployment: known speeds, told hits, hedges, a pool of routers before all. */
class OtherShapesTest {
    @Test
    void kindsThatTakeLongGetFewerKeysThoughRatingsAreAlike() {
        Harness h = new Harness(Harness.settings(true));
        Routing.ServerEntry[] caches = new Routing.ServerEntry[12];
        for (int i = 0; i < caches.length; i++) {
            caches[i] = new Routing.ServerEntry(i + 1, 0, i % 2, 0, Health.READY, 1, 0);
        }
        h.list(ListKind.CACHED, caches);
        int slow = 0;
        for (int i = 0; i < 2000; i++) {
            h.now += 200 * MS;
            h.arrive(i, READ, 100 + i);
            boolean toSlow = h.last().server() % 2 == 0;
            slow += toSlow && i >= 1000 ? 1 : 0;
            h.hit((toSlow ? 90 : 30) * MS);
        }
        assertTrue(slow > 150 && slow < 350, "of 1000 to the slow half: " + slow);
    }

    @Test
    void aFurtherTryKeepsTheAimOfTheFirstAndIsGivenUpAtOnceWhenThatIsOver() {
        Harness h = Harness.aside(4);
        h.arrive(1, READ, 5);
        h.now += 400 * MS;
        h.close(h.last(), 0, Ending.TIMEOUT, false);
        h.now = h.now + 600 * MS;
        h.close(h.last(), h.sends.size() - 1, Ending.TIMEOUT, false);
        assertEquals(List.of(1L), h.refused);
        int sent = h.sends.size();
        h.again(2, 5);
        assertEquals(List.of(1L, 2L), h.refused);
        assertEquals(sent, h.sends.size());
        h.again(3, 6);
        assertEquals(sent + 1, h.sends.size());
    }

    @Test
    void aLateAttemptIsCalledOffAndSentOnWhereTwoMayNotBeOut() {
        Harness h = new Harness(Harness.alone(Harness.settings(true)));
        h.caches(6);
        for (int i = 0; i < 50; i++) {
            h.serve(i, 1000 + i);
        }
        h.arrive(100, READ, 5);
        Harness.Send first = h.last();
        for (int i = 0; i < 5; i++) {
            h.pass(99 * MS);
            h.serve(200 + i, 2000 + i);
        }
        assertEquals(List.of(), h.actions.stream().filter(a -> a.startsWith("cancel")).toList());
        h.pass(10 * MS);
        assertEquals("cancel 100 0", h.actions.get(h.actions.size() - 1));
        int sent = h.sends.size();
        h.close(first, 0, Ending.CANCELLED, false);
        assertEquals(sent + 1, h.sends.size());
        assertNotEquals(first.server(), h.last().server());
    }

    @Test
    void whereFetchesAreNotToldReadsAreNotHeldToTheLimitOfFetches() {
        for (boolean told : List.of(true, false)) {
            Routing.Settings settings = Harness.settings(false, 100, List.of());
            Harness h = new Harness(told ? settings : Harness.alone(settings));
            h.caches(6);
            for (int i = 0; i < 60; i++) {
                h.now += 100 * MS;
                h.arrive(i, Harness.UNSAFE, i);
                h.close(h.last(), 0, Ending.ERROR, false);
            }
            int before = h.sends.size();
            for (int i = 100; i < 110; i++) {
                h.arrive(i, READ, 500 + i);
            }
            assertEquals(!told, h.sends.size() - before == 10, "sent: " + (h.sends.size() - before));
        }
    }

    @Test
    void whileDialsFailOnlyCachesWithAnOpenConnectionAreAskedButForAFew() {
        Harness h = new Harness(Harness.alone(Harness.settings(false)));
        h.caches(10);
        int dialled = 0;
        for (int i = 0; i < 400; i++) {
            h.now += 20 * MS;
            h.arrive(i, READ, 100 + i);
            while (!h.refused.contains((long) i) && h.last().request() == i) {
                long request = i;
                int attempt = (int) h.sends.stream().filter(s -> s.request() == request).count() - 1;
                boolean open = h.last().server() <= 3;
                dialled += open || i < 200 ? 0 : 1;
                h.close(h.last(), attempt, open ? Ending.OK : Ending.CONNECT_FAILED, open);
                if (open) {
                    break;
                }
            }
        }
        assertTrue(dialled > 0 && dialled < 100, "dials that failed in 200 requests: " + dialled);
    }

    @Test
    void aReportPassesItsCacheOnlyWhileTheOriginHasRoomForTheFetchOfASpill() {
        for (boolean busy : List.of(false, true)) {
            Harness h = new Harness(Harness.reporting(Harness.settings(true), "busy_reqs"));
            h.caches(6);
            h.list(ListKind.DELTA, Harness.origin(50));
            h.arrive(1, READ, 5);
            long home = h.last().server();
            h.hit(50 * MS, 60);
            for (int i = 0; i < 60; i++) {
                h.arrive(500 + i, READ, 5000 + i);
                h.hit(50 * MS, h.last().server() == home ? 60 : 2);
            }
            for (int i = 0; i < 20; i++) {
                h.now += 10 * MS;
                h.miss(100 + i, 1000 + i);
                h.router.handle(h.now, new Routing.AttemptClosed(100 + i, (busy ? 900 : 50) * MS, true, 50,
                    Ending.OK, Routing.Note.NONE, 1, new float[0]));
            }
            h.arrive(2, READ, 5);
            assertEquals(busy, h.last().server() == home);
        }
    }

    @Test
    void aHeavyRequestIsLateLaterThanALightOne() {
        Harness h = new Harness(Harness.settings(false));
        h.caches(6);
        for (int i = 0; i < 100; i++) {
            h.sized(i, 10 * MS);
            h.now += 20 * MS;
        }
        long usual = h.sized(200, 10 * MS);
        assertTrue(h.sized(201, 80 * MS) > usual + 100 * MS, "usual: " + usual);
        assertEquals(usual, h.sized(202, MS), MS);
    }

    @Test
    void aLateAttemptStaysOutWhereItsCacheGoesOnWithTheFetch() {
        Harness h = new Harness(Harness.alone(Harness.settings(false)));
        h.caches(6);
        for (int i = 0; i < 50; i++) {
            h.serve(i, 1000 + i);
        }
        h.arrive(100, READ, 5);
        h.pass(1000 * MS);
        assertEquals(List.of(), h.actions.stream().filter(a -> a.startsWith("cancel")).toList());
    }

    @Test
    void timeOutsDoNotShutTheGateWhereNoSecondCopyMayRaceThem() {
        Harness h = new Harness(Harness.alone(Harness.settings(false, 100, List.of())));
        h.caches(6);
        for (int i = 0; i < 300; i++) {
            h.now += 100 * MS;
            h.arrive(i, READ, 1000 + i);
            if (!h.refused.contains((long) i)) {
                boolean lost = i % 3 == 0;
                Ending ending = lost ? Ending.TIMEOUT : Ending.OK;
                h.router.handle(h.now, new Routing.AttemptClosed(i, (lost ? 2000 : 50) * MS, !lost,
                    h.last().server(), ending, Routing.Note.NONE, 0, new float[0]));
            }
        }
        // A lost request is itself refused, unless a further attempt is earned.
        assertTrue(h.refused.size() <= 100, "refused of 300: " + h.refused.size());
    }
}
