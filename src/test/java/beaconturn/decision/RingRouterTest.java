package beaconturn.decision;

import static beaconturn.decision.Harness.MS;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Events as a whole. */
class RingRouterTest {
  @Test
  void unknownEventsAreIgnored() {
    Harness h = new Harness(Harness.settings(false));
    h.caches(2);
    h.actions.clear();
    h.close(new Harness.Send(77, 1, 0), 0, AttemptOutcome.OK, true);
    h.router.handle(h.now, new RoutingEvent.RequestCancelled(78));
    h.router.handle(h.now, new RoutingEvent.TimerFired(79L << 8));
    h.router.handle(h.now, new RoutingEvent.PeerMessageReceived(1, new byte[3]));
    assertEquals(List.of(), h.actions);
  }

  @Test
  void sameEventsGiveSameActions() {
    Harness a = new Harness(Harness.settings(true, 2, List.of()), 11);
    Harness b = new Harness(Harness.settings(true, 2, List.of()), 11);
    for (Harness h : List.of(a, b)) {
      h.list(
          EndpointListKind.CACHED,
          Harness.cache(1),
          Harness.cache(2),
          Harness.cache(3),
          Harness.origin(50));
      h.list(EndpointListKind.FAILED);
      for (int i = 0; i < 200; i++) {
        h.arrive(i, i % 4, i % 17);
        h.pass(7 * MS);
        if (i % 3 == 0 && !h.sends.isEmpty()) {
          h.close(h.last(), 0, AttemptOutcome.values()[i % 9], false);
        }
      }
    }
    assertEquals(a.actions, b.actions);
  }
}
