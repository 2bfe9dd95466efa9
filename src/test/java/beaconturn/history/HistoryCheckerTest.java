package beaconturn.history;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** Checks each invariant against histories that satisfy and violate it. */
class HistoryCheckerTest {
  private static final long MILLI = 1_000_000;
  private static final long SECOND = 1000 * MILLI;
  private static final InvariantBounds BOUNDS = bounds(true);
  private final List<HistoryEvent> events = new ArrayList<>();
  private InvariantBounds bounds = BOUNDS;

  private static InvariantBounds bounds(boolean hedgingAllowed) {
    return new InvariantBounds(
        Map.of(
            "read",
            new RequestClassBounds(RepeatRule.ALWAYS, "all", 0),
            "put",
            new RequestClassBounds(RepeatRule.DEDUPLICATED, "cell", 2 * SECOND),
            "ack",
            new RequestClassBounds(RepeatRule.NEVER, "all", 0)),
        3,
        hedgingAllowed,
        20 * MILLI,
        500 * MILLI,
        50 * MILLI,
        10 * SECOND,
        0.2,
        10 * SECOND,
        4,
        SECOND,
        2 * SECOND,
        new RolloutBounds(
            false,
            new TreeMap<>(Map.of("r0", "east", "r1", "east", "r2", "west", "r3", "west")),
            2,
            1,
            SECOND,
            SECOND,
            1),
        null);
  }

  HistoryCheckerTest() {
    for (String server : List.of("c1", "c2", "c3")) {
      events.add(
          new HistoryEvent.CacheServerStarted(
              0, server, "east", server.equals("c3") ? 1 : 0, 0, 2));
      events.add(new HistoryEvent.RouterNotified(0, 0, server, HistoryEvent.ListingState.READY, 0));
    }
    events.add(new HistoryEvent.DiscoveryPolled(MILLI, 0));
  }

  private HistoryCheckerTest requestWritten(String requestClass, long millis) {
    events.add(
        new HistoryEvent.RequestWritten(
            millis * MILLI, "id", requestClass, "key", null, 0, (millis + 1000) * MILLI));
    return this;
  }

  /** Adds an attempt on a connection of its own, which has the number of the attempt. */
  private HistoryCheckerTest attemptArrived(long number, String server, long millis) {
    String requestClass =
        events.stream()
            .filter(event -> event instanceof HistoryEvent.RequestWritten)
            .map(event -> ((HistoryEvent.RequestWritten) event).requestClass())
            .findFirst()
            .orElse("read");
    events.add(
        new HistoryEvent.AttemptArrived(
            millis * MILLI,
            millis * MILLI,
            millis,
            number,
            server,
            0,
            number,
            "id",
            requestClass,
            "key",
            10 * MILLI));
    return this;
  }

  private HistoryCheckerTest responseSent(
      long number, HistoryEvent.ServerResponse response, long millis) {
    events.add(new HistoryEvent.ResponseSent(millis * MILLI, number, response, number));
    return this;
  }

  private HistoryCheckerTest connectionEnded(long number, long millis) {
    events.add(new HistoryEvent.ServerConnectionEnded(millis * MILLI, millis, number));
    return this;
  }

  private HistoryCheckerTest requestCompleted(
      HistoryEvent.ClientOutcome outcome, long millis, long digest) {
    events.add(new HistoryEvent.RequestCompleted(millis * MILLI, "id", outcome, digest));
    return this;
  }

  private HistoryCheckerTest add(HistoryEvent event) {
    events.add(event);
    return this;
  }

  /** Asserts that exactly these invariants are violated. */
  private void assertViolated(String... invariants) {
    List<String> violated =
        HistoryChecker.check(bounds, events).stream()
            .filter(result -> !result.held())
            .map(InvariantResult::invariant)
            .toList();
    assertEquals(List.of(invariants), violated);
  }

  private String firstViolation() {
    return HistoryChecker.check(bounds, events).stream()
        .filter(result -> !result.held())
        .findFirst()
        .orElseThrow()
        .violations()
        .get(0)
        .description();
  }

  private HistoryCheckerTest servedRequest(String requestClass) {
    return requestWritten(requestClass, 1000)
        .attemptArrived(1, "c1", 1010)
        .responseSent(1, HistoryEvent.ServerResponse.VALUE, 1030)
        .requestCompleted(HistoryEvent.ClientOutcome.SERVED, 1040, 1);
  }

  @Test
  void servedRequestViolatesNothing() {
    servedRequest("read").assertViolated();
  }

  @Test
  void detectsSecondResponse() {
    servedRequest("read")
        .requestCompleted(HistoryEvent.ClientOutcome.SERVED, 1041, 1)
        .assertViolated("one-answer");
    assertEquals("2 final answers", firstViolation());
  }

  @Test
  void detectsMissingResponse() {
    requestWritten("read", 1000)
        .requestCompleted(HistoryEvent.ClientOutcome.TIMED_OUT, 2300, 0)
        .assertViolated("one-answer");
  }

  @Test
  void detectsDisconnectWithOpenRequestUnlessRouterWasKilled() {
    requestWritten("read", 1000)
        .requestCompleted(HistoryEvent.ClientOutcome.DISCONNECTED, 1500, 0)
        .assertViolated("one-answer");
    add(new HistoryEvent.RouterStopped(1500 * MILLI, 1500 * MILLI, 0, false)).assertViolated();
  }

  @Test
  void plannedStopDoesNotExcuseMissingResponse() {
    requestWritten("read", 1000)
        .requestCompleted(HistoryEvent.ClientOutcome.DISCONNECTED, 1500, 0)
        .add(new HistoryEvent.RouterStopped(1200 * MILLI, 1200 * MILLI, 0, true))
        .assertViolated("one-answer");
  }

  @Test
  void killOfAnotherRouterOrBeforeRequestDoesNotExcuseMissingResponse() {
    requestWritten("read", 1000)
        .requestCompleted(HistoryEvent.ClientOutcome.DISCONNECTED, 1500, 0)
        .add(new HistoryEvent.RouterStopped(1200 * MILLI, 1200 * MILLI, 1, false))
        .add(new HistoryEvent.RouterStopped(900 * MILLI, 900 * MILLI, 0, false))
        .assertViolated("one-answer");
  }

  @Test
  void allowsResponseWithinSlackAfterDeadline() {
    requestWritten("read", 1000)
        .requestCompleted(HistoryEvent.ClientOutcome.FAILED, 2020, 0)
        .assertViolated();
  }

  /** Responses on a connection are sent in the order of the commands. */
  @Test
  void waitForPrecedingResponsesDoesNotCount() {
    requestWritten("read", 1000)
        .requestCompleted(HistoryEvent.ClientOutcome.FAILED, 2500, 0)
        .assertViolated("one-answer");
    add(new HistoryEvent.PrecedingResponsesReceived(2495 * MILLI, "id")).assertViolated();
  }

  @Test
  void detectsLateResponseAfterPrecedingResponses() {
    requestWritten("read", 1000)
        .requestCompleted(HistoryEvent.ClientOutcome.FAILED, 2525, 0)
        .add(new HistoryEvent.PrecedingResponsesReceived(2495 * MILLI, "id"))
        .assertViolated("one-answer");
  }

  @Test
  void detectsCloseDuringCommandUnlessRouterStops() {
    add(new HistoryEvent.ConnectionClosedWhileWriting(1500 * MILLI, "id", 0, 1450 * MILLI, true))
        .assertViolated("one-answer");
    assertEquals("its connection ended over a command that had begun", firstViolation());
    add(new HistoryEvent.RouterStopped(1600 * MILLI, 1600 * MILLI, 0, true))
        .assertViolated("one-answer");
    add(new HistoryEvent.RouterStopped(1400 * MILLI, 1400 * MILLI, 0, true)).assertViolated();
  }

  @Test
  void detectsCloseTooLongAfterWriteStart() {
    requestWritten("read", 1000)
        .add(new HistoryEvent.RequestRacedClose(1145 * MILLI, "id", 1000 * MILLI))
        .assertViolated();
    add(new HistoryEvent.RequestRacedClose(1155 * MILLI, "id", 1000 * MILLI))
        .assertViolated("one-answer");
    add(new HistoryEvent.MachinePaused(1100 * MILLI, 1110 * MILLI)).assertViolated();
  }

  @Test
  void allowsCloseDuringCommandOnIdleConnectionOnly() {
    add(new HistoryEvent.ConnectionClosedWhileWriting(1500 * MILLI, "id", 0, 1490 * MILLI, true))
        .assertViolated();
    add(new HistoryEvent.ConnectionClosedWhileWriting(1500 * MILLI, "id", 0, 1490 * MILLI, false))
        .assertViolated("one-answer");
  }

  /** A client that has left needs no response, and its router soon detects the close. */
  @Test
  void detectsAttemptAfterClientLeft() {
    requestWritten("read", 1000)
        .requestCompleted(HistoryEvent.ClientOutcome.ABANDONED, 1010, 0)
        .assertViolated();
    attemptArrived(1, "c1", 1100)
        .responseSent(1, HistoryEvent.ServerResponse.VALUE, 1120)
        .assertViolated();
    attemptArrived(2, "c2", 1400)
        .responseSent(2, HistoryEvent.ServerResponse.VALUE, 1420)
        .assertViolated("nothing-after");
  }

  @Test
  void detectsLateResponseExceptForMachinePauses() {
    requestWritten("read", 1000)
        .requestCompleted(HistoryEvent.ClientOutcome.FAILED, 2025, 0)
        .assertViolated("one-answer");
    add(new HistoryEvent.MachinePaused(1500 * MILLI, 1503 * MILLI))
        .add(new HistoryEvent.MachinePaused(1501 * MILLI, 1504 * MILLI))
        .assertViolated("one-answer");
    add(new HistoryEvent.MachinePaused(1506 * MILLI, 1510 * MILLI)).assertViolated();
  }

  @Test
  void allowsCloseRaceUnlessRequestWasAccepted() {
    requestWritten("read", 1000)
        .add(new HistoryEvent.RequestRacedClose(1005 * MILLI, "id"))
        .requestWritten("read", 1006)
        .attemptArrived(1, "c1", 1010)
        .responseSent(1, HistoryEvent.ServerResponse.VALUE, 1030)
        .requestCompleted(HistoryEvent.ClientOutcome.SERVED, 1040, 1)
        .assertViolated();
    add(new HistoryEvent.RequestRacedClose(1050 * MILLI, "id")).assertViolated("one-answer");
  }

  /** A killed router may accept requests until its process ends. */
  @Test
  void killExcusesRequestsUntilProcessEnd() {
    add(new HistoryEvent.RouterStopped(990 * MILLI, 1005 * MILLI, 0, false));
    requestWritten("read", 1000)
        .requestCompleted(HistoryEvent.ClientOutcome.DISCONNECTED, 1003, 0)
        .assertViolated();
    attemptArrived(1, "c1", 1001)
        .connectionEnded(1, 1003)
        .add(new HistoryEvent.RequestRacedClose(1004 * MILLI, "id"))
        .assertViolated();
  }

  @Test
  void detectsValueOfAnotherRequest() {
    requestWritten("read", 1000)
        .attemptArrived(1, "c1", 1010)
        .responseSent(1, HistoryEvent.ServerResponse.VALUE, 1030)
        .requestCompleted(HistoryEvent.ClientOutcome.SERVED, 1040, 77)
        .assertViolated("made-for-it");
  }

  @Test
  void detectsServedDamagedValue() {
    requestWritten("read", 1000)
        .attemptArrived(1, "c1", 1010)
        .responseSent(1, HistoryEvent.ServerResponse.DAMAGED_VALUE, 1030)
        .requestCompleted(HistoryEvent.ClientOutcome.SERVED, 1040, 1)
        .assertViolated("made-for-it");
  }

  @Test
  void allowsRepeatOfNonIdempotentRequestAfterRejection() {
    requestWritten("ack", 1000)
        .attemptArrived(1, "c1", 1010)
        .responseSent(1, HistoryEvent.ServerResponse.BUSY, 1020)
        .attemptArrived(2, "c2", 1030)
        .responseSent(2, HistoryEvent.ServerResponse.VALUE, 1040)
        .requestCompleted(HistoryEvent.ClientOutcome.SERVED, 1050, 2)
        .assertViolated();
  }

  @Test
  void detectsRepeatOfNonIdempotentRequestThatMayHaveRun() {
    requestWritten("ack", 1000)
        .attemptArrived(1, "c1", 1010)
        .connectionEnded(1, 1020)
        .attemptArrived(2, "c2", 1030)
        .responseSent(2, HistoryEvent.ServerResponse.VALUE, 1040)
        .requestCompleted(HistoryEvent.ClientOutcome.SERVED, 1050, 2)
        .assertViolated("no-effect-twice");
  }

  @Test
  void rejectionAfterRepeatDoesNotExcuseRepeat() {
    requestWritten("ack", 1000)
        .attemptArrived(1, "c1", 1010)
        .attemptArrived(2, "c2", 1030)
        .responseSent(1, HistoryEvent.ServerResponse.BUSY, 1035)
        .responseSent(2, HistoryEvent.ServerResponse.VALUE, 1040)
        .requestCompleted(HistoryEvent.ClientOutcome.SERVED, 1050, 2)
        .assertViolated("no-effect-twice");
  }

  @Test
  void allowsRepeatOfKeyedRequestWithinScopeAndWindow() {
    requestWritten("put", 1000)
        .attemptArrived(1, "c1", 1010)
        .connectionEnded(1, 1020)
        .attemptArrived(2, "c2", 1030)
        .responseSent(2, HistoryEvent.ServerResponse.VALUE, 1040)
        .add(new HistoryEvent.CommandExecuted(1015 * MILLI, 1, false))
        .add(new HistoryEvent.CommandExecuted(1035 * MILLI, 2, true))
        .requestCompleted(HistoryEvent.ClientOutcome.SERVED, 1050, 2)
        .assertViolated();
  }

  @Test
  void detectsRepeatOfKeyedRequestOutsideScope() {
    requestWritten("put", 1000)
        .attemptArrived(1, "c1", 1010)
        .connectionEnded(1, 1020)
        .attemptArrived(2, "c3", 1030)
        .responseSent(2, HistoryEvent.ServerResponse.VALUE, 1040)
        .requestCompleted(HistoryEvent.ClientOutcome.SERVED, 1050, 2)
        .assertViolated("no-effect-twice");
  }

  @Test
  void detectsRepeatOfKeyedRequestAfterWindow() {
    events.add(
        new HistoryEvent.RequestWritten(1000 * MILLI, "id", "put", "key", null, 0, 9000 * MILLI));
    attemptArrived(1, "c1", 1010)
        .connectionEnded(1, 1020)
        .attemptArrived(2, "c2", 3070)
        .responseSent(2, HistoryEvent.ServerResponse.VALUE, 3080)
        .requestCompleted(HistoryEvent.ClientOutcome.SERVED, 3090, 2)
        .assertViolated("no-effect-twice");
  }

  @Test
  void detectsDuplicateEffectWithinWindow() {
    requestWritten("put", 1000)
        .attemptArrived(1, "c1", 1010)
        .connectionEnded(1, 1020)
        .attemptArrived(2, "c2", 1030)
        .responseSent(2, HistoryEvent.ServerResponse.VALUE, 1040)
        .add(new HistoryEvent.CommandExecuted(1015 * MILLI, 1, false))
        .add(new HistoryEvent.CommandExecuted(1035 * MILLI, 2, false))
        .requestCompleted(HistoryEvent.ClientOutcome.SERVED, 1050, 2)
        .assertViolated("no-effect-twice");
  }

  /** The first attempt was delayed for longer than the window, so that no repeat was wrong. */
  @Test
  void notesDuplicateEffectAfterWindow() {
    requestWritten("put", 1000)
        .attemptArrived(1, "c1", 1010)
        .connectionEnded(1, 1020)
        .attemptArrived(2, "c2", 1030)
        .responseSent(2, HistoryEvent.ServerResponse.VALUE, 1040)
        .add(new HistoryEvent.CommandExecuted(1035 * MILLI, 2, false))
        .add(new HistoryEvent.CommandExecuted(3035 * MILLI, 1, false))
        .requestCompleted(HistoryEvent.ClientOutcome.SERVED, 1050, 2)
        .assertViolated();
    assertEquals(
        1,
        HistoryChecker.check(bounds, events).stream()
            .mapToInt(result -> result.notes().size())
            .sum());
  }

  @Test
  void traceContainsAllEventsOfRequest() {
    servedRequest("read")
        .connectionEnded(1, 1050)
        .add(new HistoryEvent.CommandExecuted(1020 * MILLI, 1, false));
    events.add(
        new HistoryEvent.RequestCompleted(
            900 * MILLI, "other", HistoryEvent.ClientOutcome.FAILED, 0));
    assertEquals(
        List.of(
            "0.0000 s client asked router 0: read key, until 1.0000 s",
            "0.0100 s c1 read #1 of router 0 on connection 1",
            "0.0300 s #1 answered: value",
            "0.0400 s client: served",
            "0.0500 s connection 1 ended",
            "0.0200 s #1 ran"),
        RequestTrace.of(events, "id", 1000 * MILLI));
  }

  @Test
  void detectsHedgedRequestWhereHedgingIsNotAllowed() {
    bounds = bounds(false);
    requestWritten("read", 1000)
        .attemptArrived(1, "c1", 1010)
        .attemptArrived(2, "c2", 1030)
        .responseSent(2, HistoryEvent.ServerResponse.VALUE, 1040)
        .connectionEnded(1, 1041)
        .requestCompleted(HistoryEvent.ClientOutcome.SERVED, 1045, 2)
        .assertViolated("second-copies");
    bounds = BOUNDS;
    assertViolated();
  }

  @Test
  void connectionEndSeenOneLoopTurnLaterPrecedesNextAttempt() {
    bounds = bounds(false);
    requestWritten("read", 1000)
        .attemptArrived(1, "c1", 1010)
        .attemptArrived(2, "c2", 1030)
        .connectionEnded(1, 1031)
        .responseSent(2, HistoryEvent.ServerResponse.VALUE, 1040)
        .requestCompleted(HistoryEvent.ClientOutcome.SERVED, 1045, 2)
        .assertViolated();
  }

  @Test
  void detectsTooManyAttempts() {
    requestWritten("read", 1000);
    for (int i = 1; i <= 4; i++) {
      attemptArrived(i, "c1", 1000 + 10 * i)
          .responseSent(i, HistoryEvent.ServerResponse.ERROR, 1005 + 10 * i);
    }
    requestCompleted(HistoryEvent.ClientOutcome.FAILED, 1100, 0).assertViolated("attempts");
  }

  @Test
  void detectsRejectionOfNonIdempotentRequestThatMayHaveRun() {
    requestWritten("ack", 1000)
        .attemptArrived(1, "c1", 1010)
        .connectionEnded(1, 1020)
        .requestCompleted(HistoryEvent.ClientOutcome.REJECTED, 1030, 0)
        .assertViolated("harmless-refusal");
  }

  @Test
  void allowsRejectionOfReadsAndOfRequestsThatDidNotRun() {
    requestWritten("read", 1000)
        .attemptArrived(1, "c1", 1010)
        .connectionEnded(1, 1020)
        .requestCompleted(HistoryEvent.ClientOutcome.REJECTED, 1030, 0)
        .assertViolated();
    events.removeIf(
        event ->
            !(event instanceof HistoryEvent.CacheServerStarted
                || event instanceof HistoryEvent.RouterNotified));
    requestWritten("ack", 1000)
        .attemptArrived(1, "c1", 1010)
        .responseSent(1, HistoryEvent.ServerResponse.BUSY, 1020)
        .requestCompleted(HistoryEvent.ClientOutcome.REJECTED, 1030, 0)
        .assertViolated();
  }

  @Test
  void detectsAttemptAfterResponse() {
    servedRequest("read").attemptArrived(2, "c2", 1080).connectionEnded(2, 1081).assertViolated();
    attemptArrived(3, "c2", 1095).connectionEnded(3, 1096).assertViolated("nothing-after");
  }

  @Test
  void detectsCommandWithoutRequest() {
    attemptArrived(1, "c1", 1010)
        .responseSent(1, HistoryEvent.ServerResponse.VALUE, 1020)
        .assertViolated("passed-on");
  }

  @Test
  void detectsUnreadableCommand() {
    servedRequest("read")
        .add(new HistoryEvent.UnreadableCommand(1010 * MILLI, "c1", 0, "noise"))
        .assertViolated("passed-on");
  }

  @Test
  void detectsAttemptAfterDrainGrace() {
    add(new HistoryEvent.RouterNotified(
            500 * MILLI, 0, "c1", HistoryEvent.ListingState.DRAINING, 0))
        .servedRequest("read")
        .assertViolated();
    add(new HistoryEvent.RouterNotified(
            400 * MILLI, 0, "c1", HistoryEvent.ListingState.DRAINING, 0))
        .assertViolated("drains-kept");
  }

  /** An attempt counts from its first byte. */
  @Test
  void allowsAttemptWhoseFirstByteArrivedWithinDrainGrace() {
    add(new HistoryEvent.RouterNotified(
            400 * MILLI, 0, "c1", HistoryEvent.ListingState.DRAINING, 0))
        .requestWritten("read", 800);
    add(new HistoryEvent.AttemptArrived(
            1800 * MILLI, 900 * MILLI, 1, 1, "c1", 0, 1, "id", "read", "key", MILLI))
        .responseSent(1, HistoryEvent.ServerResponse.BUSY, 1801)
        .requestCompleted(HistoryEvent.ClientOutcome.REJECTED, 1801, 0)
        .assertViolated();
  }

  @Test
  void drainGraceOfGoneServerCountsFromDrain() {
    add(new HistoryEvent.RouterNotified(
            400 * MILLI, 0, "c1", HistoryEvent.ListingState.DRAINING, 0))
        .add(
            new HistoryEvent.RouterNotified(
                900 * MILLI, 0, "c1", HistoryEvent.ListingState.GONE, 0))
        .servedRequest("read")
        .assertViolated("drains-kept");
  }

  @Test
  void allowsAttemptToServerThatIsReadyAgain() {
    add(new HistoryEvent.RouterNotified(
            400 * MILLI, 0, "c1", HistoryEvent.ListingState.DRAINING, 0))
        .add(
            new HistoryEvent.RouterNotified(
                900 * MILLI, 0, "c1", HistoryEvent.ListingState.READY, 0))
        .servedRequest("read")
        .assertViolated();
  }

  @Test
  void notificationOfAnotherRouterDoesNotCount() {
    add(new HistoryEvent.RouterNotified(100 * MILLI, 1, "c1", HistoryEvent.ListingState.GONE, 0))
        .servedRequest("read")
        .assertViolated();
  }

  @Test
  void routerThatNeverPolledCountsAsNotified() {
    add(new HistoryEvent.ListingChanged(2 * MILLI, "c1", HistoryEvent.ListingState.GONE));
    requestWritten("read", 20_000)
        .attemptArrived(1, "c1", 20_010)
        .responseSent(1, HistoryEvent.ServerResponse.VALUE, 20_020)
        .requestCompleted(HistoryEvent.ClientOutcome.SERVED, 20_030, 1)
        .assertViolated();
    events.removeIf(event -> event instanceof HistoryEvent.DiscoveryPolled);
    assertViolated("drains-kept");
    add(new HistoryEvent.DiscoveryReachability(SECOND, false)).assertViolated();
  }

  @Test
  void detectsOverloadOfWarmingServerInAnyWindow() {
    add(new HistoryEvent.CacheServerStarted(SECOND, "c1", "east", 0, SECOND, 2));
    for (int i = 1; i <= 170; i++) {
      events.add(
          new HistoryEvent.RequestWritten(SECOND, "id" + i, "read", "key", null, 0, 2 * SECOND));
      events.add(
          new HistoryEvent.AttemptArrived(
              SECOND + i * MILLI,
              SECOND + i * MILLI,
              i,
              i,
              "c1",
              0,
              i,
              "id" + i,
              "read",
              "key",
              10 * MILLI));
      responseSent(i, HistoryEvent.ServerResponse.VALUE, 1300)
          .add(
              new HistoryEvent.RequestCompleted(
                  SECOND + 400 * MILLI, "id" + i, HistoryEvent.ClientOutcome.SERVED, i));
    }
    assertViolated();
    for (int i = 171; i <= 180; i++) {
      attemptArrived(i, "c1", 1180).connectionEnded(i, 1190);
    }
    assertViolated("attempts", "passed-on", "cold-kept");
  }

  @Test
  void detectsCollapseOfServer() {
    add(new HistoryEvent.ServerCollapsed(SECOND, "c2")).assertViolated("cold-kept");
  }

  @Test
  void attributesOriginCollapseToWarmingServersOnlyIfTheySentMostFetches() {
    add(new HistoryEvent.OriginFetched(900 * MILLI, "c1", false, 5))
        .add(new HistoryEvent.OriginFetched(910 * MILLI, "c1", false, 6))
        .add(new HistoryEvent.OriginFetched(950 * MILLI, "c2", true, 7))
        .add(new HistoryEvent.ServerCollapsed(SECOND, "origin"));
    assertViolated();
    add(new HistoryEvent.OriginFetched(960 * MILLI, "c2", true, 8)).assertViolated("origin-kept");
  }

  @Test
  void detectsAttemptInFlightAtEnd() {
    requestWritten("read", 1000)
        .attemptArrived(1, "c1", 1010)
        .requestCompleted(HistoryEvent.ClientOutcome.FAILED, 1500, 0)
        .assertViolated("books-balance");
    connectionEnded(1, 1510).assertViolated();
  }

  @Test
  void detectsResponseWithoutRequest() {
    requestCompleted(HistoryEvent.ClientOutcome.SERVED, 1500, 0)
        .assertViolated("made-for-it", "books-balance");
  }

  @Test
  void detectsRouterCrash() {
    add(new HistoryEvent.RouterCrashed(SECOND, 0, "ended by itself")).assertViolated("routers-run");
  }

  private HistoryCheckerTest versionStage(
      long number, HistoryEvent.VersionStage stage, long millis, String excluded) {
    return versionStage(number, stage, millis, excluded, 0);
  }

  private HistoryCheckerTest versionStage(
      long number, HistoryEvent.VersionStage stage, long millis, String excluded, int maxAttempts) {
    return add(
        new HistoryEvent.VersionStageReached(
            millis * MILLI, number, stage, Set.of(excluded), maxAttempts, Set.of(), false));
  }

  /**
   * The convergence time starts with the first effect of the later version, even a premature one.
   */
  @Test
  void detectsEffectOfOlderVersionAfterConvergenceTime() {
    versionStage(1, HistoryEvent.VersionStage.PROPOSED, 100, "c1")
        .versionStage(1, HistoryEvent.VersionStage.IN_FORCE, 200, "c1");
    versionStage(2, HistoryEvent.VersionStage.PROPOSED, 1000, "c2")
        .versionStage(2, HistoryEvent.VersionStage.IN_FORCE, 1500, "c2");
    attemptArrived(1, "c2", 3500);
    assertEquals(List.of(), conflicts());
    attemptArrived(2, "c1", 1300);
    assertEquals(
        List.of(
            "router 0 acts on version 2 200.0 ms before it is in force",
            "router 0 acts on version 1 2200.0 ms after router 0 acted on version 2"),
        conflicts());
    assertEquals(2200 * MILLI, conflictResult().maxNanos());
    events.remove(events.size() - 1);
    attemptArrived(3, "c2", 3600);
    assertEquals(
        List.of("router 0 acts on version 1 2100.0 ms after version 2 came into force"),
        conflicts());
    versionStage(3, HistoryEvent.VersionStage.PROPOSED, 3590, "c1");
    assertEquals(List.of("router 0 acts on version 3, which never came into force"), conflicts());
  }

  /** A router that is not a member was not asked to acknowledge the version. */
  @Test
  void routerThatLeftDoesNotConflict() {
    versionStage(1, HistoryEvent.VersionStage.PROPOSED, 100, "c1")
        .versionStage(1, HistoryEvent.VersionStage.IN_FORCE, 200, "c1");
    add(new HistoryEvent.MembershipChanged(150 * MILLI, 0, false)).attemptArrived(1, "c1", 4000);
    assertEquals(List.of(), conflicts());
    add(new HistoryEvent.MembershipChanged(4100 * MILLI, 0, true)).attemptArrived(2, "c1", 4200);
    assertEquals(List.of(), conflicts(), "the convergence time starts when the router joins");
    attemptArrived(3, "c1", 6200);
    assertEquals(
        List.of("router 0 acts on version 0 2100.0 ms after version 1 came into force"),
        conflicts());
  }

  @Test
  void detectsAttemptsBeyondMaximumOfLaterVersion() {
    versionStage(1, HistoryEvent.VersionStage.PROPOSED, 100, "c9", 3)
        .versionStage(1, HistoryEvent.VersionStage.IN_FORCE, 200, "c9", 3);
    versionStage(2, HistoryEvent.VersionStage.PROPOSED, 1000, "c9", 1)
        .versionStage(2, HistoryEvent.VersionStage.IN_FORCE, 1500, "c9", 1);
    attemptArrived(1, "c1", 3300).attemptArrived(2, "c1", 3400);
    assertEquals(List.of(), conflicts());
    attemptArrived(3, "c1", 3700);
    assertEquals(
        List.of(
            "router 0 acts on version 1 with send 3 of a request 2200.0 ms after version 2"
                + " came into force"),
        conflicts());
  }

  private HistoryCheckerTest versionStage(
      long number,
      HistoryEvent.VersionStage stage,
      long millis,
      Set<String> nonIdempotentClasses,
      boolean limitsListAge) {
    return add(
        new HistoryEvent.VersionStageReached(
            millis * MILLI, number, stage, Set.of(), 0, nonIdempotentClasses, limitsListAge));
  }

  /** Covers a version that makes a class non-idempotent, and one that lifts this. */
  @Test
  void detectsRepeatThatAnotherVersionForbids() {
    Set<String> read = Set.of("read");
    versionStage(1, HistoryEvent.VersionStage.PROPOSED, 100, read, false)
        .versionStage(1, HistoryEvent.VersionStage.IN_FORCE, 200, read, false);
    requestWritten("read", 2000).attemptArrived(1, "c1", 2100).attemptArrived(2, "c2", 2150);
    assertEquals(List.of(), conflicts());
    attemptArrived(3, "c1", 2300);
    assertEquals(
        List.of(
            "router 0 acts on version 0 with a repeat of what is unsafe by then 2100.0 ms"
                + " after version 1 came into force"),
        conflicts());
    events.removeIf(event -> event instanceof HistoryEvent.AttemptArrived);
    attemptArrived(1, "c1", 2300)
        .responseSent(1, HistoryEvent.ServerResponse.BUSY, 2310)
        .attemptArrived(2, "c2", 2320);
    assertEquals(List.of(), conflicts(), "a rejected attempt did not run");
    versionStage(2, HistoryEvent.VersionStage.PROPOSED, 3000, Set.of(), false);
    versionStage(2, HistoryEvent.VersionStage.IN_FORCE, 4000, Set.of(), false);
    attemptArrived(3, "c1", 3400);
    assertEquals(List.of("router 0 acts on version 2 600.0 ms before it is in force"), conflicts());
  }

  /** Each attempt to a server that had left the list counts until the server is listed again. */
  @Test
  void detectsUseOfEndpointListOlderThanVersion() {
    add(new HistoryEvent.ListingChanged(500 * MILLI, "c1", HistoryEvent.ListingState.DRAINING));
    versionStage(1, HistoryEvent.VersionStage.PROPOSED, 1000, Set.of(), true);
    versionStage(1, HistoryEvent.VersionStage.IN_FORCE, 1500, Set.of(), true);
    add(new HistoryEvent.ListingChanged(2000 * MILLI, "c2", HistoryEvent.ListingState.DRAINING));
    attemptArrived(1, "c1", 3400).attemptArrived(2, "c2", 4000).attemptArrived(3, "c3", 4000);
    assertEquals(List.of(), conflicts(), "c2 left the list after the proposal");
    attemptArrived(4, "c1", 3600);
    assertEquals(
        List.of(
            "router 0 acts on version 0's list, of before its server left it, 2100.0 ms"
                + " after version 1 came into force"),
        conflicts());
    add(new HistoryEvent.ListingChanged(3500 * MILLI, "c1", HistoryEvent.ListingState.READY));
    assertEquals(List.of(), conflicts());
  }

  private InvariantResult conflictResult() {
    return HistoryChecker.check(bounds, events).stream()
        .filter(result -> result.invariant().equals("no-contradiction"))
        .findFirst()
        .orElseThrow();
  }

  private List<String> conflicts() {
    return conflictResult().violations().stream().map(Violation::description).toList();
  }

  @Test
  void notificationOnCutLinkIsReceivedOnceLinkWorks() {
    add(new HistoryEvent.DiscoveryLinkChanged(900 * MILLI, 0, false));
    add(
        new HistoryEvent.RouterNotified(
            1000 * MILLI, 0, "c1", HistoryEvent.ListingState.DRAINING, 0));
    add(new HistoryEvent.DiscoveryLinkChanged(3000 * MILLI, 0, true));
    requestWritten("read", 3300)
        .attemptArrived(1, "c1", 3310)
        .responseSent(1, HistoryEvent.ServerResponse.VALUE, 3330)
        .requestCompleted(HistoryEvent.ClientOutcome.SERVED, 3340, 1)
        .assertViolated();
    events.removeIf(event -> event instanceof HistoryEvent.DiscoveryLinkChanged);
    assertViolated("drains-kept");
  }

  @Test
  void violationsAreSortedByTime() {
    requestWritten("read", 1000).requestCompleted(HistoryEvent.ClientOutcome.FAILED, 2500, 0);
    events.add(
        new HistoryEvent.RequestWritten(500 * MILLI, "early", "read", "key", null, 0, 700 * MILLI));
    events.add(
        new HistoryEvent.RequestCompleted(
            900 * MILLI, "early", HistoryEvent.ClientOutcome.FAILED, 0));
    InvariantResult result = HistoryChecker.check(bounds, events).get(0);
    assertEquals(2, result.violations().size());
    assertEquals("early", result.violations().get(0).requestId());
    assertEquals("answered 200.0 ms after its deadline", result.violations().get(0).description());
  }
}
