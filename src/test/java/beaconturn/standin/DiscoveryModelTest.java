package beaconturn.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class DiscoveryModelTest {
  private static final long SECOND = FleetFixture.SECOND;
  private final FleetFixture fixture = new FleetFixture(2, FleetFixture.SPEC);
  private final DiscoveryModel discovery = fixture.fleet.discovery();
  private final List<String> replies = new ArrayList<>();
  private final DiscoveryModel.ResponseHandler handler =
      new DiscoveryModel.ResponseHandler() {
        @Override
        public void succeeded(DiscoveryModel.EndpointUpdate update) {
          replies.add(
              (update.complete() ? "complete " : "changes ")
                  + String.join(
                      " ",
                      update.entries().stream().map(e -> e.host() + ":" + e.health()).toList()));
        }

        @Override
        public void failed() {
          replies.add("failed");
        }
      };

  @Test
  void fetchReturnsTheCompleteListAtOnce() {
    discovery.fetch(0, handler);
    fixture.advance(0);
    assertEquals(List.of("complete c1:READY c2:READY"), replies);
  }

  @Test
  void watchWaitsForAChangeAndReturnsOnlyThat() {
    discovery.watch(0, discovery.version(), 20 * SECOND, handler);
    fixture.advance(SECOND);
    assertEquals(List.of(), replies);
    fixture.fleet.startFault(Fault.Kind.KILL, 1, 1);
    fixture.advance(SECOND - 1);
    assertEquals(List.of(), replies, "the change is published only after the lag");
    fixture.advance(1);
    assertEquals(List.of("changes c2:GONE"), replies);
    assertTrue(fixture.events.contains("notified 0 c2 GONE"));
  }

  /** The list is wrong: the server is running. */
  @Test
  void runningServerIsUnlistedAndListedAgain() {
    fixture.fleet.startFault(Fault.Kind.UNLIST, 1, 1);
    discovery.fetch(0, handler);
    fixture.advance(0);
    assertEquals(List.of("complete c1:READY"), replies);
    assertTrue(!fixture.fleet.server(1).dead());
    fixture.fleet.endFault(Fault.Kind.UNLIST, 1);
    discovery.fetch(0, handler);
    fixture.advance(0);
    assertEquals("complete c1:READY c2:READY", replies.get(1));
  }

  @Test
  void drainCancelledWithinTheLagIsNeverListed() {
    fixture.fleet.startFault(Fault.Kind.DRAIN, 1, 1);
    fixture.advance(SECOND / 2);
    fixture.fleet.endFault(Fault.Kind.DRAIN, 1);
    fixture.advance(SECOND);
    discovery.fetch(0, handler);
    fixture.advance(0);
    assertEquals(List.of("complete c1:READY c2:READY"), replies);
  }

  @Test
  void watchWithoutChangesReturnsAnEmptyUpdate() {
    discovery.watch(0, discovery.version(), 20 * SECOND, handler);
    fixture.advance(20 * SECOND);
    assertEquals(List.of("changes "), replies);
  }

  @Test
  void watchReturnsOnlyTheLastChangeOfEachServer() {
    long before = discovery.version();
    fixture.fleet.startFault(Fault.Kind.KILL, 0, 1);
    fixture.advance(2 * SECOND);
    fixture.fleet.endFault(Fault.Kind.KILL, 0);
    fixture.advance(2 * SECOND);
    discovery.watch(0, before, SECOND, handler);
    fixture.advance(0);
    assertEquals(List.of("changes c1:READY"), replies);
  }

  @Test
  void watchOfUnknownVersionReturnsTheCompleteList() {
    discovery.watch(0, 999, SECOND, handler);
    fixture.advance(0);
    assertEquals(List.of("complete c1:READY c2:READY"), replies);
  }

  @Test
  void completeListReportsAReplacedServerAsGone() {
    discovery.initialList(3);
    fixture.fleet.startFault(Fault.Kind.REPLACE, 0, 1);
    fixture.advance(2 * SECOND);
    fixture.fleet.endFault(Fault.Kind.REPLACE, 0);
    fixture.advance(2 * SECOND);
    discovery.fetch(3, handler);
    fixture.advance(0);
    assertEquals(List.of("complete c2:READY c1-2:READY"), replies);
    assertTrue(fixture.events.contains("notified 3 c1 GONE"));
    assertEquals(
        0, fixture.fleet.indexOf("c1-2"), "the successor has the index of its predecessor");
  }

  @Test
  void unavailableDiscoveryFailsCallsAndWatches() {
    discovery.watch(0, discovery.version(), 20 * SECOND, handler);
    fixture.fleet.startFault(Fault.Kind.DISCOVERY_OUT, 1);
    discovery.fetch(0, handler);
    assertEquals(List.of("failed", "failed"), replies);
    fixture.fleet.endFault(Fault.Kind.DISCOVERY_OUT);
    discovery.fetch(0, handler);
    fixture.advance(0);
    assertEquals(3, replies.size());
  }

  @Test
  void slowDiscoveryDelaysRepliesAndSkipsCancelledCalls() {
    fixture.fleet.startFault(Fault.Kind.DISCOVERY_SLOW, 2.0 * SECOND);
    discovery.fetch(0, handler);
    DiscoveryModel.Call cancelled = discovery.fetch(1, handler);
    fixture.advance(SECOND);
    cancelled.cancel();
    assertEquals(List.of(), replies);
    fixture.advance(SECOND);
    assertEquals(1, replies.size());
  }

  @Test
  void staleDiscoveryReturnsAnOldList() {
    fixture.advance(20 * SECOND);
    fixture.fleet.startFault(Fault.Kind.KILL, 0, 1);
    fixture.advance(2 * SECOND);
    fixture.fleet.startFault(Fault.Kind.DISCOVERY_BACK, 10.0 * SECOND);
    discovery.fetch(0, handler);
    fixture.advance(0);
    fixture.fleet.endFault(Fault.Kind.DISCOVERY_BACK);
    discovery.fetch(0, handler);
    fixture.advance(0);
    assertEquals(List.of("complete c1:READY c2:READY", "complete c2:READY"), replies);
  }

  @Test
  void drainIsListedAfterTheLagAndRejectsAfterTheGracePeriod() {
    fixture.fleet.startFault(Fault.Kind.DRAIN, 0, 1);
    fixture.advance(SECOND);
    discovery.fetch(0, handler);
    fixture.advance(0);
    assertEquals(List.of("complete c1:DRAINING c2:READY"), replies);
    FleetFixture.Connection connection = fixture.connect(0).get("k", "1");
    fixture.advance(SECOND);
    connection.get("k", "2");
    assertEquals("miss busy", connection.outcomes());
  }

  @Test
  void lateDrainRejectsBeforeItIsListed() {
    fixture.fleet.startFault(Fault.Kind.DRAIN_LATE, 0, 3.0 * SECOND);
    assertEquals("busy", fixture.connect(0).get("k", "1").outcomes());
    discovery.fetch(0, handler);
    fixture.advance(3 * SECOND);
    discovery.fetch(0, handler);
    fixture.advance(0);
    assertEquals(List.of("complete c1:READY c2:READY", "complete c1:DRAINING c2:READY"), replies);
    fixture.fleet.endFault(Fault.Kind.DRAIN_LATE, 0);
    discovery.fetch(0, handler);
    fixture.advance(SECOND);
    assertEquals("complete c1:READY c2:READY", replies.get(2));
  }
}
