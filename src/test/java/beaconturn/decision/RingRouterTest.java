package beaconturn.decision;

import static beaconturn.decision.RouterHarness.MS;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the dispatch of events. */
class RingRouterTest {
  @Test
  void unknownEventsAreIgnored() {
    RouterHarness harness = new RouterHarness(RouterHarness.settings(false));
    harness.addCaches(2);
    harness.actions.clear();
    harness.closeAttempt(new RouterHarness.Send(77, 1, 0), 0, AttemptOutcome.OK, true);
    harness.router.handle(harness.nowNanos, new RoutingEvent.RequestCancelled(78));
    harness.router.handle(harness.nowNanos, new RoutingEvent.TimerFired(79L << 8));
    harness.router.handle(harness.nowNanos, new RoutingEvent.PeerMessageReceived(1, new byte[3]));
    assertEquals(List.of(), harness.actions);
  }

  @Test
  void sameEventsGiveSameActions() {
    RouterHarness a = new RouterHarness(RouterHarness.settings(true, 2, List.of()), 11);
    RouterHarness b = new RouterHarness(RouterHarness.settings(true, 2, List.of()), 11);
    for (RouterHarness harness : List.of(a, b)) {
      harness.updateEndpoints(
          EndpointListKind.CACHED,
          RouterHarness.readyEndpoint(1),
          RouterHarness.readyEndpoint(2),
          RouterHarness.readyEndpoint(3),
          RouterHarness.originEndpoint(50));
      harness.updateEndpoints(EndpointListKind.FAILED);
      for (int i = 0; i < 200; i++) {
        harness.arrive(i, i % 4, i % 17);
        harness.advance(7 * MS);
        if (i % 3 == 0 && !harness.sends.isEmpty()) {
          harness.closeAttempt(harness.lastSend(), 0, AttemptOutcome.values()[i % 9], false);
        }
      }
    }
    assertEquals(a.actions, b.actions);
  }
}
