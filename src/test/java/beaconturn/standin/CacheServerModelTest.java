package beaconturn.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

class CacheServerModelTest {
  private static final long MILLI = FleetFixture.MILLI;
  private static final long SECOND = FleetFixture.SECOND;
  private final FleetFixture fixture = new FleetFixture(3, FleetFixture.SPEC);

  @Test
  void readHitsUntilTimeToLiveEnds() {
    FleetFixture.Connection connection = fixture.connect(0).get("k", "1");
    fixture.advance(SECOND);
    connection.get("k", "2");
    fixture.advance(10 * SECOND);
    connection.get("k", "3");
    fixture.advance(SECOND);
    assertEquals("miss hit miss", connection.outcomes());
  }

  @Test
  void valueIsUniqueToItsRequest() {
    FleetFixture.Connection connection = fixture.connect(0).get("k", "one").get("k", "two");
    fixture.advance(SECOND);
    assertTrue(connection.responses.get(0).toString().startsWith("k v0 for one by c1 #"));
    assertNotEquals(connection.responses.get(0).toString(), connection.responses.get(1).toString());
  }

  @Test
  void concurrentMissesOfOneKeyShareAFetch() {
    FleetFixture.Connection connection = fixture.connect(0).get("k", "1").get("k", "2");
    fixture.advance(SECOND);
    assertEquals(2, connection.responses.size());
    assertTrue(connection.outcomes().contains("pending"));
  }

  @Test
  void responsesAreSentInCommandOrderEvenIfALaterOneIsReady() {
    fixture.connect(1).get("warm", "0");
    FleetFixture.Connection connection = fixture.connect(0).get("hot", "1");
    fixture.advance(SECOND);
    fixture.fleet.startFault(Fault.Kind.ORIGIN_STOP, 1);
    connection.get("cold", "2").get("hot", "3");
    fixture.advance(SECOND);
    assertEquals("miss", connection.outcomes(), "the hit waits behind the stopped miss");
    fixture.fleet.endFault(Fault.Kind.ORIGIN_STOP);
    fixture.advance(SECOND);
    assertEquals("miss miss hit", connection.outcomes());
  }

  @Test
  void commandsBeyondWorkersAndQueueAreRejectedWithoutRunning() {
    FleetFixture.Connection connection = fixture.connect(0);
    for (int i = 0; i < 5; i++) {
      connection.command("ack", "k" + i, "id" + i, null, SECOND);
    }
    fixture.advance(SECOND);
    assertEquals("written written written written busy", connection.outcomes());
    assertFalse(fixture.events.contains("id4 ran"));
  }

  @Test
  void commandQueuedBeyondItsTimeoutIsRejected() {
    fixture.fleet.startFault(Fault.Kind.SLOW, 0, 100);
    FleetFixture.Connection connection =
        fixture.connect(0).get("a", "1").get("b", "2").command("read", "c", "3", null, 100 * MILLI);
    fixture.advance(5 * SECOND);
    assertEquals("miss miss busy", connection.outcomes());
  }

  @Test
  void commandsOnConnectionsBeyondTheLimitAreRejected() {
    fixture.connect(0);
    fixture.connect(0);
    fixture.connect(0);
    FleetFixture.Connection overLimit = fixture.connect(0).get("k", "1");
    assertEquals("busy", overLimit.outcomes());
  }

  @Test
  void writeInvalidatesCopiesOnOtherServersAndRaisesTheVersion() {
    FleetFixture.Connection first = fixture.connect(0).get("k", "1");
    FleetFixture.Connection second = fixture.connect(1);
    fixture.advance(SECOND);
    second.command("ack", "k", "2", null, SECOND);
    fixture.advance(SECOND);
    first.get("k", "3");
    fixture.advance(SECOND);
    assertEquals("miss miss", first.outcomes());
    assertTrue(first.responses.get(1).toString().startsWith("k v1 "));
    assertEquals(1, fixture.fleet.origin().executionCount("2"));
  }

  @Test
  void repeatedIdempotencyKeyHasNoSecondEffectWithinScopeAndWindow() {
    FleetFixture.Connection east = fixture.connect(0).put("k", "1", "once");
    fixture.advance(SECOND);
    FleetFixture.Connection secondEast = fixture.connect(2).put("k", "2", "once");
    fixture.advance(SECOND);
    assertEquals(1, fixture.fleet.origin().executionCount("once"));
    assertTrue(fixture.events.contains("2 repeated"));
    fixture.connect(1).put("k", "3", "once");
    fixture.advance(SECOND);
    assertEquals(
        2,
        fixture.fleet.origin().executionCount("once"),
        "other zones do not share the idempotency key");
    fixture.advance(3 * SECOND);
    east.put("k", "4", "once");
    fixture.advance(SECOND);
    assertEquals(
        3,
        fixture.fleet.origin().executionCount("once"),
        "the idempotency key expires with the window");
    assertEquals("written", secondEast.outcomes());
  }

  @Test
  void stalledServerCompletesNoWorkAndSendsNoResponses() {
    FleetFixture.Connection connection = fixture.connect(0).get("k", "1");
    fixture.advance(MILLI);
    fixture.fleet.startFault(Fault.Kind.STALL, 0, 1);
    connection.command("ack", "w", "2", null, 20 * SECOND);
    fixture.advance(5 * SECOND);
    assertEquals("", connection.outcomes());
    assertFalse(fixture.events.contains("2 ran"), "queued work does not run during the stall");
    fixture.fleet.endFault(Fault.Kind.STALL, 0);
    fixture.advance(SECOND);
    assertEquals("miss written", connection.outcomes());
  }

  /**
   * A command behind a slow one may have run before the stall although its response is not sent.
   */
  @Test
  void stallHoldsResponsesOfCommandsThatHaveRun() {
    fixture.fleet.startFault(Fault.Kind.ORIGIN_SLOW, 50);
    FleetFixture.Connection connection = fixture.connect(0).get("slow", "1");
    fixture.advance(15 * MILLI);
    fixture.fleet.endFault(Fault.Kind.ORIGIN_SLOW);
    connection.command("ack", "w", "2", null, 20 * SECOND);
    fixture.advance(200 * MILLI);
    assertTrue(fixture.events.contains("2 ran"));
    assertEquals("", connection.outcomes(), "its response waits behind the slow one");
    fixture.fleet.startFault(Fault.Kind.STALL, 0, 1);
    fixture.advance(5 * SECOND);
    assertEquals("", connection.outcomes());
    connection.close();
    fixture.fleet.endFault(Fault.Kind.STALL, 0);
    fixture.advance(SECOND);
    assertEquals("", connection.outcomes());
    assertEquals(0, fixture.fleet.server(0).inFlight());
  }

  @Test
  void closedConnectionDropsItsQueuedWork() {
    FleetFixture.Connection connection = fixture.connect(0);
    for (int i = 0; i < 4; i++) {
      connection.command("ack", "k" + i, "id" + i, null, SECOND);
    }
    fixture.advance(MILLI);
    connection.close();
    fixture.advance(SECOND);
    assertEquals(List.of(), fixture.events);
    assertEquals(0, fixture.fleet.server(0).inFlight());
    FleetFixture.Connection next = fixture.connect(0).get("k", "1");
    fixture.advance(SECOND);
    assertEquals("miss", next.outcomes(), "the workers are free again");
  }

  @Test
  void overloadedColdServerCollapsesAndStaysDown() {
    fixture.fleet.startFault(Fault.Kind.KILL, 0, 1);
    fixture.advance(SECOND);
    fixture.fleet.endFault(Fault.Kind.KILL, 0);
    assertTrue(fixture.fleet.server(0).cold());
    FleetFixture.Connection connection = fixture.connect(0);
    for (int i = 0; i < 200; i++) {
      connection.get("k", "id" + i);
    }
    assertTrue(
        connection.wasReset,
        "2 s of work within 1 s exceed 4 times the capacity, which is 0.2 of 2 workers");
    assertEquals(List.of("c1 collapsed"), fixture.events);
    assertTrue(fixture.fleet.server(0).dead());
  }

  @Test
  void warmServerSurvivesTheLoadThatCollapsesAColdOne() {
    FleetFixture.Connection connection = fixture.connect(0);
    for (int i = 0; i < 200; i++) {
      connection.get("k", "id" + i);
    }
    assertFalse(connection.wasReset);
    assertFalse(fixture.fleet.server(0).dead());
  }

  @Test
  void errorAndCorruptionSharesApply() {
    fixture.fleet.startFault(Fault.Kind.ERRORS, 0, 1);
    FleetFixture.Connection failing = fixture.connect(0).get("k", "1");
    assertEquals("failed", failing.outcomes(), "at once");
    fixture.fleet.endFault(Fault.Kind.ERRORS, 0);
    fixture.fleet.startFault(Fault.Kind.SPOIL, 0, 1);
    failing.get("k", "2");
    fixture.advance(SECOND);
    assertEquals("failed corrupted", failing.outcomes());
    assertTrue(fixture.events.contains("2 ran"), "the command of a corrupted response has run");
  }

  @Test
  void resetFaultClosesOpenConnectionsAndThoseOfCommands() {
    FleetFixture.Connection openBefore = fixture.connect(0);
    fixture.fleet.startFault(Fault.Kind.RESET, 0, 1);
    assertTrue(openBefore.wasReset);
    assertTrue(fixture.connect(0).get("k", "1").wasReset);
    fixture.fleet.endFault(Fault.Kind.RESET, 0);
    assertFalse(fixture.connect(0).get("k", "2").wasReset);
  }

  @Test
  void newConnectionCostsWork() {
    FleetFixture costly =
        new FleetFixture(
            1,
            new CacheServerSpec(
                1,
                1,
                2,
                10_000,
                SECOND,
                1,
                0,
                4,
                SECOND,
                9,
                400 * MILLI,
                1,
                true,
                true,
                List.of("inflight")));
    FleetFixture.Connection connection = costly.connect(0).get("k", "1");
    costly.advance(380 * MILLI);
    assertEquals(
        "", connection.outcomes(), "the first request waits for the work of the connection");
    costly.advance(SECOND);
    assertEquals("miss", connection.outcomes());
    assertEquals("inflight=1.0", ((CacheResponse.Value) connection.responses.get(0)).report());
  }

  @Test
  void sameSeedAndEventsGiveTheSameTimes() {
    assertEquals(times(), times());
  }

  private static String times() {
    FleetFixture fixture = new FleetFixture(1, FleetFixture.SPEC);
    FleetFixture.Connection connection = fixture.connect(0);
    StringBuilder times = new StringBuilder();
    for (int i = 0; i < 40; i++) {
      connection.get("k" + i % 7, "id" + i);
      fixture.advance(7 * MILLI);
      times.append(connection.responses.size()).append(' ');
    }
    return times + connection.outcomes();
  }
}
