package beaconturn.history;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** Each invariant, held and violated, on histories that are written here. */
class HistoryCheckerTest {
  private static final long MILLI = 1_000_000;
  private static final long SECOND = 1000 * MILLI;
  private static final InvariantBounds BOUNDS = bounds(true);
  private final List<HistoryEvent> events = new ArrayList<>();
  private InvariantBounds bounds = BOUNDS;

  private static InvariantBounds bounds(boolean secondCopies) {
    return new InvariantBounds(
        Map.of(
            "read",
            new RequestClassBounds(RepeatRule.ALWAYS, "all", 0),
            "put",
            new RequestClassBounds(RepeatRule.DEDUPLICATED, "cell", 2 * SECOND),
            "ack",
            new RequestClassBounds(RepeatRule.NEVER, "all", 0)),
        3,
        secondCopies,
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

  private HistoryCheckerTest written(String type, long millis) {
    events.add(
        new HistoryEvent.RequestWritten(
            millis * MILLI, "id", type, "key", null, 0, (millis + 1000) * MILLI));
    return this;
  }

  /** An attempt that a server has read; each has a connection of its own, of its number. */
  private HistoryCheckerTest arrived(long number, String server, long millis) {
    String type =
        events.stream()
            .filter(e -> e instanceof HistoryEvent.RequestWritten)
            .map(e -> ((HistoryEvent.RequestWritten) e).requestClass())
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
            type,
            "key",
            10 * MILLI));
    return this;
  }

  private HistoryCheckerTest answered(
      long number, HistoryEvent.ServerResponse answered, long millis) {
    events.add(new HistoryEvent.ResponseSent(millis * MILLI, number, answered, number));
    return this;
  }

  private HistoryCheckerTest connectionEnded(long number, long millis) {
    events.add(new HistoryEvent.ServerConnectionEnded(millis * MILLI, millis, number));
    return this;
  }

  private HistoryCheckerTest received(
      HistoryEvent.ClientOutcome outcome, long millis, long digest) {
    events.add(new HistoryEvent.RequestCompleted(millis * MILLI, "id", outcome, digest));
    return this;
  }

  private HistoryCheckerTest event(HistoryEvent event) {
    events.add(event);
    return this;
  }

  /** The names of the invariants that are violated. */
  private void violates(String... invariants) {
    List<String> violated =
        HistoryChecker.check(bounds, events).stream()
            .filter(v -> !v.held())
            .map(InvariantResult::invariant)
            .toList();
    assertEquals(List.of(invariants), violated);
  }

  private String firstViolation() {
    return HistoryChecker.check(bounds, events).stream()
        .filter(v -> !v.held())
        .findFirst()
        .orElseThrow()
        .violations()
        .get(0)
        .description();
  }

  private HistoryCheckerTest served(String type) {
    return written(type, 1000)
        .arrived(1, "c1", 1010)
        .answered(1, HistoryEvent.ServerResponse.VALUE, 1030)
        .received(HistoryEvent.ClientOutcome.SERVED, 1040, 1);
  }

  @Test
  void aPlainRequestBreaksNothing() {
    served("read").violates();
  }

  @Test
  void aSecondAnswerIsOneTooMany() {
    served("read").received(HistoryEvent.ClientOutcome.SERVED, 1041, 1).violates("one-answer");
    assertEquals("2 final answers", firstViolation());
  }

  @Test
  void aRequestWithoutAnAnswerIsLost() {
    written("read", 1000)
        .received(HistoryEvent.ClientOutcome.TIMED_OUT, 2300, 0)
        .violates("one-answer");
  }

  @Test
  void aConnectionThatEndsWithARequestOutLosesItUnlessItsRouterWasKilled() {
    written("read", 1000)
        .received(HistoryEvent.ClientOutcome.DISCONNECTED, 1500, 0)
        .violates("one-answer");
    event(new HistoryEvent.RouterStopped(1500 * MILLI, 1500 * MILLI, 0, false)).violates();
  }

  @Test
  void aPlannedStopExcusesNothing() {
    written("read", 1000)
        .received(HistoryEvent.ClientOutcome.DISCONNECTED, 1500, 0)
        .event(new HistoryEvent.RouterStopped(1200 * MILLI, 1200 * MILLI, 0, true))
        .violates("one-answer");
  }

  @Test
  void aKillOfAnotherRouterOrBeforeTheRequestExcusesNothing() {
    written("read", 1000)
        .received(HistoryEvent.ClientOutcome.DISCONNECTED, 1500, 0)
        .event(new HistoryEvent.RouterStopped(1200 * MILLI, 1200 * MILLI, 1, false))
        .event(new HistoryEvent.RouterStopped(900 * MILLI, 900 * MILLI, 0, false))
        .violates("one-answer");
  }

  @Test
  void anAnswerMayComeAsMuchLaterAsTheSlackAndAsTheMachineStoodStill() {
    written("read", 1000).received(HistoryEvent.ClientOutcome.FAILED, 2020, 0).violates();
  }

  /** Answers on a connection come in the order of its commands. */
  @Test
  void whatAnAnswerWaitsForThoseInFrontOfItDoesNotCount() {
    written("read", 1000)
        .received(HistoryEvent.ClientOutcome.FAILED, 2500, 0)
        .violates("one-answer");
    event(new HistoryEvent.PrecedingResponsesReceived(2495 * MILLI, "id")).violates();
  }

  @Test
  void anAnswerIsLateAlsoAfterThoseInFrontOfIt() {
    written("read", 1000)
        .received(HistoryEvent.ClientOutcome.FAILED, 2525, 0)
        .event(new HistoryEvent.PrecedingResponsesReceived(2495 * MILLI, "id"))
        .violates("one-answer");
  }

  @Test
  void aCommandThatHasBegunIsLetComeUnlessItsRouterStops() {
    event(new HistoryEvent.ConnectionClosedWhileWriting(1500 * MILLI, "id", 0, 1450 * MILLI, true))
        .violates("one-answer");
    assertEquals("its connection ended over a command that had begun", firstViolation());
    event(new HistoryEvent.RouterStopped(1600 * MILLI, 1600 * MILLI, 0, true))
        .violates("one-answer");
    event(new HistoryEvent.RouterStopped(1400 * MILLI, 1400 * MILLI, 0, true)).violates();
  }

  @Test
  void anEndLongAfterCommandsHadBegunDoesNotCrossThem() {
    written("read", 1000)
        .event(new HistoryEvent.RequestRacedClose(1145 * MILLI, "id", 1000 * MILLI))
        .violates();
    event(new HistoryEvent.RequestRacedClose(1155 * MILLI, "id", 1000 * MILLI))
        .violates("one-answer");
    event(new HistoryEvent.MachinePaused(1100 * MILLI, 1110 * MILLI)).violates();
  }

  @Test
  void aCommandMayCrossTheEndOfARestingConnectionOnly() {
    event(new HistoryEvent.ConnectionClosedWhileWriting(1500 * MILLI, "id", 0, 1490 * MILLI, true))
        .violates();
    event(new HistoryEvent.ConnectionClosedWhileWriting(1500 * MILLI, "id", 0, 1490 * MILLI, false))
        .violates("one-answer");
  }

  /**
   * A client that has left is owed no answer, and no attempt begins for it once its close is seen.
   */
  @Test
  void nothingIsSentForAClientThatHasLeft() {
    written("read", 1000).received(HistoryEvent.ClientOutcome.ABANDONED, 1010, 0).violates();
    arrived(1, "c1", 1100).answered(1, HistoryEvent.ServerResponse.VALUE, 1120).violates();
    arrived(2, "c2", 1400)
        .answered(2, HistoryEvent.ServerResponse.VALUE, 1420)
        .violates("nothing-after");
  }

  @Test
  void aLateAnswerIsLate() {
    written("read", 1000)
        .received(HistoryEvent.ClientOutcome.FAILED, 2025, 0)
        .violates("one-answer");
    event(new HistoryEvent.MachinePaused(1500 * MILLI, 1503 * MILLI))
        .event(new HistoryEvent.MachinePaused(1501 * MILLI, 1504 * MILLI))
        .violates("one-answer");
    event(new HistoryEvent.MachinePaused(1506 * MILLI, 1510 * MILLI)).violates();
  }

  @Test
  void aCloseThatCrossesARequestIsNoLossUnlessItHadBeenTaken() {
    written("read", 1000)
        .event(new HistoryEvent.RequestRacedClose(1005 * MILLI, "id"))
        .written("read", 1006)
        .arrived(1, "c1", 1010)
        .answered(1, HistoryEvent.ServerResponse.VALUE, 1030)
        .received(HistoryEvent.ClientOutcome.SERVED, 1040, 1)
        .violates();
    event(new HistoryEvent.RequestRacedClose(1050 * MILLI, "id")).violates("one-answer");
  }

  /**
   * Up to the end of its process a router may take requests, and clients may see the end before the
   * rehearsal does.
   */
  @Test
  void aKillExcusesWhatCameBetweenTheSignalAndTheEnd() {
    event(new HistoryEvent.RouterStopped(990 * MILLI, 1005 * MILLI, 0, false));
    written("read", 1000).received(HistoryEvent.ClientOutcome.DISCONNECTED, 1003, 0).violates();
    arrived(1, "c1", 1001)
        .connectionEnded(1, 1003)
        .event(new HistoryEvent.RequestRacedClose(1004 * MILLI, "id"))
        .violates();
  }

  @Test
  void aValueThatWasMadeForAnotherRequestIsNotItsOwn() {
    written("read", 1000)
        .arrived(1, "c1", 1010)
        .answered(1, HistoryEvent.ServerResponse.VALUE, 1030)
        .received(HistoryEvent.ClientOutcome.SERVED, 1040, 77)
        .violates("made-for-it");
  }

  @Test
  void aSpoiltValueMustNotBeServed() {
    written("read", 1000)
        .arrived(1, "c1", 1010)
        .answered(1, HistoryEvent.ServerResponse.DAMAGED_VALUE, 1030)
        .received(HistoryEvent.ClientOutcome.SERVED, 1040, 1)
        .violates("made-for-it");
  }

  @Test
  void anUnsafeRequestGoesAgainOnlyAfterATurnAway() {
    written("ack", 1000)
        .arrived(1, "c1", 1010)
        .answered(1, HistoryEvent.ServerResponse.BUSY, 1020)
        .arrived(2, "c2", 1030)
        .answered(2, HistoryEvent.ServerResponse.VALUE, 1040)
        .received(HistoryEvent.ClientOutcome.SERVED, 1050, 2)
        .violates();
  }

  @Test
  void anUnsafeRequestThatMayHaveRunMustNotGoAgain() {
    written("ack", 1000)
        .arrived(1, "c1", 1010)
        .connectionEnded(1, 1020)
        .arrived(2, "c2", 1030)
        .answered(2, HistoryEvent.ServerResponse.VALUE, 1040)
        .received(HistoryEvent.ClientOutcome.SERVED, 1050, 2)
        .violates("no-effect-twice");
  }

  @Test
  void aTurnAwayThatComesAfterTheSecondSendExcusesNothing() {
    written("ack", 1000)
        .arrived(1, "c1", 1010)
        .arrived(2, "c2", 1030)
        .answered(1, HistoryEvent.ServerResponse.BUSY, 1035)
        .answered(2, HistoryEvent.ServerResponse.VALUE, 1040)
        .received(HistoryEvent.ClientOutcome.SERVED, 1050, 2)
        .violates("no-effect-twice");
  }

  @Test
  void aKeyedRequestGoesAgainWithinItsGroupAndWindow() {
    written("put", 1000)
        .arrived(1, "c1", 1010)
        .connectionEnded(1, 1020)
        .arrived(2, "c2", 1030)
        .answered(2, HistoryEvent.ServerResponse.VALUE, 1040)
        .event(new HistoryEvent.CommandExecuted(1015 * MILLI, 1, false))
        .event(new HistoryEvent.CommandExecuted(1035 * MILLI, 2, true))
        .received(HistoryEvent.ClientOutcome.SERVED, 1050, 2)
        .violates();
  }

  @Test
  void aKeyedRequestMustNotLeaveItsGroup() {
    written("put", 1000)
        .arrived(1, "c1", 1010)
        .connectionEnded(1, 1020)
        .arrived(2, "c3", 1030)
        .answered(2, HistoryEvent.ServerResponse.VALUE, 1040)
        .received(HistoryEvent.ClientOutcome.SERVED, 1050, 2)
        .violates("no-effect-twice");
  }

  @Test
  void aKeyedRequestMustNotGoAgainAfterItsWindow() {
    events.add(
        new HistoryEvent.RequestWritten(1000 * MILLI, "id", "put", "key", null, 0, 9000 * MILLI));
    arrived(1, "c1", 1010)
        .connectionEnded(1, 1020)
        .arrived(2, "c2", 3070)
        .answered(2, HistoryEvent.ServerResponse.VALUE, 3080)
        .received(HistoryEvent.ClientOutcome.SERVED, 3090, 2)
        .violates("no-effect-twice");
  }

  @Test
  void anEffectThatCameAboutTwiceIsSeenWhateverTheReason() {
    written("put", 1000)
        .arrived(1, "c1", 1010)
        .connectionEnded(1, 1020)
        .arrived(2, "c2", 1030)
        .answered(2, HistoryEvent.ServerResponse.VALUE, 1040)
        .event(new HistoryEvent.CommandExecuted(1015 * MILLI, 1, false))
        .event(new HistoryEvent.CommandExecuted(1035 * MILLI, 2, false))
        .received(HistoryEvent.ClientOutcome.SERVED, 1050, 2)
        .violates("no-effect-twice");
  }

  /**
   * A first copy that stood still for longer than the window: no attempt violated anything, and
   * operators have to know of it.
   */
  @Test
  void aKeyedEffectAfterItsKeyWasForgottenIsNoted() {
    written("put", 1000)
        .arrived(1, "c1", 1010)
        .connectionEnded(1, 1020)
        .arrived(2, "c2", 1030)
        .answered(2, HistoryEvent.ServerResponse.VALUE, 1040)
        .event(new HistoryEvent.CommandExecuted(1035 * MILLI, 2, false))
        .event(new HistoryEvent.CommandExecuted(3035 * MILLI, 1, false))
        .received(HistoryEvent.ClientOutcome.SERVED, 1050, 2)
        .violates();
    assertEquals(
        1, HistoryChecker.check(bounds, events).stream().mapToInt(v -> v.notes().size()).sum());
  }

  @Test
  void theStoryOfARequestHasAllThatBelongsToIt() {
    served("read")
        .connectionEnded(1, 1050)
        .event(new HistoryEvent.CommandExecuted(1020 * MILLI, 1, false));
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
  void aSecondCopyIsSeenWhereNoneIsAllowed() {
    bounds = bounds(false);
    written("read", 1000)
        .arrived(1, "c1", 1010)
        .arrived(2, "c2", 1030)
        .answered(2, HistoryEvent.ServerResponse.VALUE, 1040)
        .connectionEnded(1, 1041)
        .received(HistoryEvent.ClientOutcome.SERVED, 1045, 2)
        .violates("second-copies");
    bounds = BOUNDS;
    violates();
  }

  @Test
  void anEndThatIsSeenATurnLaterCameBeforeTheSecondSend() {
    bounds = bounds(false);
    written("read", 1000)
        .arrived(1, "c1", 1010)
        .arrived(2, "c2", 1030)
        .connectionEnded(1, 1031)
        .answered(2, HistoryEvent.ServerResponse.VALUE, 1040)
        .received(HistoryEvent.ClientOutcome.SERVED, 1045, 2)
        .violates();
  }

  @Test
  void attemptsAreCounted() {
    written("read", 1000);
    for (int i = 1; i <= 4; i++) {
      arrived(i, "c1", 1000 + 10 * i).answered(i, HistoryEvent.ServerResponse.ERROR, 1005 + 10 * i);
    }
    received(HistoryEvent.ClientOutcome.FAILED, 1100, 0).violates("attempts");
  }

  @Test
  void anUnsafeRequestThatMayHaveRunMustNotBeRefused() {
    written("ack", 1000)
        .arrived(1, "c1", 1010)
        .connectionEnded(1, 1020)
        .received(HistoryEvent.ClientOutcome.REJECTED, 1030, 0)
        .violates("harmless-refusal");
  }

  @Test
  void refusalsAreHarmlessForReadsAndForWhatWasTurnedAway() {
    written("read", 1000)
        .arrived(1, "c1", 1010)
        .connectionEnded(1, 1020)
        .received(HistoryEvent.ClientOutcome.REJECTED, 1030, 0)
        .violates();
    events.removeIf(
        e ->
            !(e instanceof HistoryEvent.CacheServerStarted
                || e instanceof HistoryEvent.RouterNotified));
    written("ack", 1000)
        .arrived(1, "c1", 1010)
        .answered(1, HistoryEvent.ServerResponse.BUSY, 1020)
        .received(HistoryEvent.ClientOutcome.REJECTED, 1030, 0)
        .violates();
  }

  @Test
  void nothingMoreIsSentAfterTheAnswer() {
    served("read").arrived(2, "c2", 1080).connectionEnded(2, 1081).violates();
    arrived(3, "c2", 1095).connectionEnded(3, 1096).violates("nothing-after");
  }

  @Test
  void aCommandThatNoClientAskedForIsSeen() {
    arrived(1, "c1", 1010)
        .answered(1, HistoryEvent.ServerResponse.VALUE, 1020)
        .violates("passed-on");
  }

  @Test
  void whatCannotBeReadIsSeen() {
    served("read")
        .event(new HistoryEvent.UnreadableCommand(1010 * MILLI, "c1", 0, "noise"))
        .violates("passed-on");
  }

  @Test
  void workAfterTheGraceOfADrainIsSeen() {
    event(
            new HistoryEvent.RouterNotified(
                500 * MILLI, 0, "c1", HistoryEvent.ListingState.DRAINING, 0))
        .served("read")
        .violates();
    event(
            new HistoryEvent.RouterNotified(
                400 * MILLI, 0, "c1", HistoryEvent.ListingState.DRAINING, 0))
        .violates("drains-kept");
  }

  /** An attempt counts from its first byte: one half written at the end of the grace may go on. */
  @Test
  void aSendThatWasBegunInTimeMayEndAfterTheGrace() {
    event(
            new HistoryEvent.RouterNotified(
                400 * MILLI, 0, "c1", HistoryEvent.ListingState.DRAINING, 0))
        .written("read", 800);
    event(
            new HistoryEvent.AttemptArrived(
                1800 * MILLI, 900 * MILLI, 1, 1, "c1", 0, 1, "id", "read", "key", MILLI))
        .answered(1, HistoryEvent.ServerResponse.BUSY, 1801)
        .received(HistoryEvent.ClientOutcome.REJECTED, 1801, 0)
        .violates();
  }

  @Test
  void aServerThatIsGoneAfterItsDrainCountsFromTheDrain() {
    event(
            new HistoryEvent.RouterNotified(
                400 * MILLI, 0, "c1", HistoryEvent.ListingState.DRAINING, 0))
        .event(
            new HistoryEvent.RouterNotified(
                900 * MILLI, 0, "c1", HistoryEvent.ListingState.GONE, 0))
        .served("read")
        .violates("drains-kept");
  }

  @Test
  void aServerThatIsBackMayHaveWork() {
    event(
            new HistoryEvent.RouterNotified(
                400 * MILLI, 0, "c1", HistoryEvent.ListingState.DRAINING, 0))
        .event(
            new HistoryEvent.RouterNotified(
                900 * MILLI, 0, "c1", HistoryEvent.ListingState.READY, 0))
        .served("read")
        .violates();
  }

  @Test
  void anotherRoutersNewsDoNotBindThisOne() {
    event(new HistoryEvent.RouterNotified(100 * MILLI, 1, "c1", HistoryEvent.ListingState.GONE, 0))
        .served("read")
        .violates();
  }

  @Test
  void aRouterThatNeverAskedCountsAsTold() {
    event(new HistoryEvent.ListingChanged(2 * MILLI, "c1", HistoryEvent.ListingState.GONE));
    written("read", 20_000)
        .arrived(1, "c1", 20_010)
        .answered(1, HistoryEvent.ServerResponse.VALUE, 20_020)
        .received(HistoryEvent.ClientOutcome.SERVED, 20_030, 1)
        .violates();
    events.removeIf(e -> e instanceof HistoryEvent.DiscoveryPolled);
    violates("drains-kept");
    event(new HistoryEvent.DiscoveryReachability(SECOND, false)).violates();
  }

  @Test
  void aColdServerOverItsBudgetInAnyWindowIsSeen() {
    event(new HistoryEvent.CacheServerStarted(SECOND, "c1", "east", 0, SECOND, 2));
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
      answered(i, HistoryEvent.ServerResponse.VALUE, 1300)
          .event(
              new HistoryEvent.RequestCompleted(
                  SECOND + 400 * MILLI, "id" + i, HistoryEvent.ClientOutcome.SERVED, i));
    }
    violates();
    for (int i = 171; i <= 180; i++) {
      arrived(i, "c1", 1180).connectionEnded(i, 1190);
    }
    violates("attempts", "passed-on", "cold-kept");
  }

  @Test
  void aCollapseOfAServerIsSeen() {
    event(new HistoryEvent.ServerCollapsed(SECOND, "c2")).violates("cold-kept");
  }

  @Test
  void theOriginsFallIsPutDownToColdServersOnlyWhereTheyAskedMost() {
    event(new HistoryEvent.OriginFetched(900 * MILLI, "c1", false, 5))
        .event(new HistoryEvent.OriginFetched(910 * MILLI, "c1", false, 6))
        .event(new HistoryEvent.OriginFetched(950 * MILLI, "c2", true, 7))
        .event(new HistoryEvent.ServerCollapsed(SECOND, "origin"));
    violates();
    event(new HistoryEvent.OriginFetched(960 * MILLI, "c2", true, 8)).violates("origin-kept");
  }

  @Test
  void whatIsStillOutAtTheEndIsSeen() {
    written("read", 1000)
        .arrived(1, "c1", 1010)
        .received(HistoryEvent.ClientOutcome.FAILED, 1500, 0)
        .violates("books-balance");
    connectionEnded(1, 1510).violates();
  }

  @Test
  void anAnswerWithoutARequestIsSeen() {
    received(HistoryEvent.ClientOutcome.SERVED, 1500, 0).violates("made-for-it", "books-balance");
  }

  @Test
  void aRouterThatEndsByItselfIsSeen() {
    event(new HistoryEvent.RouterCrashed(SECOND, 0, "ended by itself")).violates("routers-run");
  }

  private HistoryCheckerTest version(
      long number, HistoryEvent.VersionStage step, long millis, String out) {
    return version(number, step, millis, out, 0);
  }

  private HistoryCheckerTest version(
      long number, HistoryEvent.VersionStage step, long millis, String out, int mostTries) {
    return event(
        new HistoryEvent.VersionStageReached(
            millis * MILLI, number, step, Set.of(out), mostTries, Set.of(), false));
  }

  /**
   * From the first effect of the later version anywhere, also one that nobody should have made yet.
   */
  @Test
  void actingOnAnOlderVersionBeyondTheStatedTimeIsSeen() {
    version(1, HistoryEvent.VersionStage.PROPOSED, 100, "c1")
        .version(1, HistoryEvent.VersionStage.IN_FORCE, 200, "c1");
    version(2, HistoryEvent.VersionStage.PROPOSED, 1000, "c2")
        .version(2, HistoryEvent.VersionStage.IN_FORCE, 1500, "c2");
    arrived(1, "c2", 3500);
    assertEquals(List.of(), contradictions());
    arrived(2, "c1", 1300);
    assertEquals(
        List.of(
            "router 0 acts on version 2 200.0 ms before it is in force",
            "router 0 acts on version 1 2200.0 ms after router 0 acted on version 2"),
        contradictions());
    assertEquals(2200 * MILLI, contradiction().maxNanos());
    events.remove(events.size() - 1);
    arrived(3, "c2", 3600);
    assertEquals(
        List.of("router 0 acts on version 1 2100.0 ms after version 2 came into force"),
        contradictions());
    version(3, HistoryEvent.VersionStage.PROPOSED, 3590, "c1");
    assertEquals(
        List.of("router 0 acts on version 3, which never came into force"), contradictions());
  }

  /** A router that is no member was not asked for its ack. */
  @Test
  void whoHasLeftContradictsNobody() {
    version(1, HistoryEvent.VersionStage.PROPOSED, 100, "c1")
        .version(1, HistoryEvent.VersionStage.IN_FORCE, 200, "c1");
    event(new HistoryEvent.MembershipChanged(150 * MILLI, 0, false)).arrived(1, "c1", 4000);
    assertEquals(List.of(), contradictions());
    event(new HistoryEvent.MembershipChanged(4100 * MILLI, 0, true)).arrived(2, "c1", 4200);
    assertEquals(List.of(), contradictions(), "it has the stated time from when it joined");
    arrived(3, "c1", 6200);
    assertEquals(
        List.of("router 0 acts on version 0 2100.0 ms after version 1 came into force"),
        contradictions());
  }

  /** Attempts beyond the number that the later of two versions allows. */
  @Test
  void sendingAsOftenAsAnOlderVersionAllowedIsSeen() {
    version(1, HistoryEvent.VersionStage.PROPOSED, 100, "c9", 3)
        .version(1, HistoryEvent.VersionStage.IN_FORCE, 200, "c9", 3);
    version(2, HistoryEvent.VersionStage.PROPOSED, 1000, "c9", 1)
        .version(2, HistoryEvent.VersionStage.IN_FORCE, 1500, "c9", 1);
    arrived(1, "c1", 3300).arrived(2, "c1", 3400);
    assertEquals(List.of(), contradictions());
    arrived(3, "c1", 3700);
    assertEquals(
        List.of(
            "router 0 acts on version 1 with send 3 of a request 2200.0 ms after version 2"
                + " came into force"),
        contradictions());
  }

  private HistoryCheckerTest rule(
      long number, HistoryEvent.VersionStage step, long millis, Set<String> unsafe, boolean lists) {
    return event(
        new HistoryEvent.VersionStageReached(
            millis * MILLI, number, step, Set.of(), 0, unsafe, lists));
  }

  /** A class is repeated that the later version makes non-idempotent, or allows too early. */
  @Test
  void repeatingWhatAnotherVersionForbidsIsSeen() {
    Set<String> read = Set.of("read");
    rule(1, HistoryEvent.VersionStage.PROPOSED, 100, read, false)
        .rule(1, HistoryEvent.VersionStage.IN_FORCE, 200, read, false);
    written("read", 2000).arrived(1, "c1", 2100).arrived(2, "c2", 2150);
    assertEquals(List.of(), contradictions());
    arrived(3, "c1", 2300);
    assertEquals(
        List.of(
            "router 0 acts on version 0 with a repeat of what is unsafe by then 2100.0 ms"
                + " after version 1 came into force"),
        contradictions());
    events.removeIf(e -> e instanceof HistoryEvent.AttemptArrived);
    arrived(1, "c1", 2300)
        .answered(1, HistoryEvent.ServerResponse.BUSY, 2310)
        .arrived(2, "c2", 2320);
    assertEquals(List.of(), contradictions(), "a turn-away never ran");
    rule(2, HistoryEvent.VersionStage.PROPOSED, 3000, Set.of(), false);
    rule(2, HistoryEvent.VersionStage.IN_FORCE, 4000, Set.of(), false);
    arrived(3, "c1", 3400);
    assertEquals(
        List.of("router 0 acts on version 2 600.0 ms before it is in force"), contradictions());
  }

  /** Each attempt to a server that had left the list counts, until it is listed again. */
  @Test
  void actingOnAnOlderListThanTheVersionsIsSeen() {
    event(new HistoryEvent.ListingChanged(500 * MILLI, "c1", HistoryEvent.ListingState.DRAINING));
    rule(1, HistoryEvent.VersionStage.PROPOSED, 1000, Set.of(), true);
    rule(1, HistoryEvent.VersionStage.IN_FORCE, 1500, Set.of(), true);
    event(new HistoryEvent.ListingChanged(2000 * MILLI, "c2", HistoryEvent.ListingState.DRAINING));
    arrived(1, "c1", 3400).arrived(2, "c2", 4000).arrived(3, "c3", 4000);
    assertEquals(List.of(), contradictions(), "c2 left later");
    arrived(4, "c1", 3600);
    assertEquals(
        List.of(
            "router 0 acts on version 0's list, of before its server left it, 2100.0 ms"
                + " after version 1 came into force"),
        contradictions());
    event(new HistoryEvent.ListingChanged(3500 * MILLI, "c1", HistoryEvent.ListingState.READY));
    assertEquals(List.of(), contradictions());
  }

  private InvariantResult contradiction() {
    return HistoryChecker.check(bounds, events).stream()
        .filter(v -> v.invariant().equals("no-contradiction"))
        .findFirst()
        .orElseThrow();
  }

  private List<String> contradictions() {
    return contradiction().violations().stream().map(Violation::description).toList();
  }

  /** A cut between discovery and a router: what was written meanwhile arrives when it is mended. */
  @Test
  void newsOnALinkThatPassesNothingAreHeardWhenItDoes() {
    event(new HistoryEvent.DiscoveryLinkChanged(900 * MILLI, 0, false));
    event(
        new HistoryEvent.RouterNotified(
            1000 * MILLI, 0, "c1", HistoryEvent.ListingState.DRAINING, 0));
    event(new HistoryEvent.DiscoveryLinkChanged(3000 * MILLI, 0, true));
    written("read", 3300)
        .arrived(1, "c1", 3310)
        .answered(1, HistoryEvent.ServerResponse.VALUE, 3330)
        .received(HistoryEvent.ClientOutcome.SERVED, 3340, 1)
        .violates();
    events.removeIf(e -> e instanceof HistoryEvent.DiscoveryLinkChanged);
    violates("drains-kept");
  }

  @Test
  void theFirstOffenceIsTheEarliest() {
    written("read", 1000).received(HistoryEvent.ClientOutcome.FAILED, 2500, 0);
    events.add(
        new HistoryEvent.RequestWritten(500 * MILLI, "early", "read", "key", null, 0, 700 * MILLI));
    events.add(
        new HistoryEvent.RequestCompleted(
            900 * MILLI, "early", HistoryEvent.ClientOutcome.FAILED, 0));
    InvariantResult one = HistoryChecker.check(bounds, events).get(0);
    assertEquals(2, one.violations().size());
    assertEquals("early", one.violations().get(0).requestId());
    assertEquals("answered 200.0 ms after its deadline", one.violations().get(0).description());
  }
}
