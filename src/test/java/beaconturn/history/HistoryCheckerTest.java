package beaconturn.history;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** Each rule, kept and broken, on accounts written by hand. */
class HistoryCheckerTest {
  private static final long MILLI = 1_000_000;
  private static final long SECOND = 1000 * MILLI;
  private static final InvariantBounds TERMS = terms(true);
  private final List<HistoryEvent> lines = new ArrayList<>();
  private InvariantBounds terms = TERMS;

  private static InvariantBounds terms(boolean secondCopies) {
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
      lines.add(
          new HistoryEvent.CacheServerStarted(
              0, server, "east", server.equals("c3") ? 1 : 0, 0, 2));
      lines.add(new HistoryEvent.RouterNotified(0, 0, server, HistoryEvent.ListingState.READY, 0));
    }
    lines.add(new HistoryEvent.DiscoveryPolled(MILLI, 0));
  }

  private HistoryCheckerTest asked(String type, long millis) {
    lines.add(
        new HistoryEvent.RequestWritten(
            millis * MILLI, "id", type, "key", null, 0, (millis + 1000) * MILLI));
    return this;
  }

  /** A command read whole; each has a connection of its own, of its number. */
  private HistoryCheckerTest sent(long number, String server, long millis) {
    String type =
        lines.stream()
            .filter(e -> e instanceof HistoryEvent.RequestWritten)
            .map(e -> ((HistoryEvent.RequestWritten) e).requestClass())
            .findFirst()
            .orElse("read");
    lines.add(
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

  private HistoryCheckerTest made(long number, HistoryEvent.ServerAnswer made, long millis) {
    lines.add(new HistoryEvent.CommandAnswered(millis * MILLI, number, made, number));
    return this;
  }

  private HistoryCheckerTest ended(long number, long millis) {
    lines.add(new HistoryEvent.ServerConnectionEnded(millis * MILLI, millis, number));
    return this;
  }

  private HistoryCheckerTest told(HistoryEvent.ClientOutcome kind, long millis, long digest) {
    lines.add(new HistoryEvent.ResponseReceived(millis * MILLI, "id", kind, digest));
    return this;
  }

  private HistoryCheckerTest line(HistoryEvent entry) {
    lines.add(entry);
    return this;
  }

  /** The names of the broken rules, with the first offence's server. */
  private void breaks(String... rules) {
    List<String> broken =
        HistoryChecker.check(terms, lines).stream()
            .filter(v -> !v.held())
            .map(InvariantResult::invariant)
            .toList();
    assertEquals(List.of(rules), broken);
  }

  private String firstOffence() {
    return HistoryChecker.check(terms, lines).stream()
        .filter(v -> !v.held())
        .findFirst()
        .orElseThrow()
        .violations()
        .get(0)
        .description();
  }

  private HistoryCheckerTest served(String type) {
    return asked(type, 1000)
        .sent(1, "c1", 1010)
        .made(1, HistoryEvent.ServerAnswer.VALUE, 1030)
        .told(HistoryEvent.ClientOutcome.SERVED, 1040, 1);
  }

  @Test
  void aPlainRequestBreaksNothing() {
    served("read").breaks();
  }

  @Test
  void aSecondAnswerIsOneTooMany() {
    served("read").told(HistoryEvent.ClientOutcome.SERVED, 1041, 1).breaks("one-answer");
    assertEquals("2 final answers", firstOffence());
  }

  @Test
  void aRequestWithoutAnAnswerIsLost() {
    asked("read", 1000).told(HistoryEvent.ClientOutcome.TIMED_OUT, 2300, 0).breaks("one-answer");
  }

  @Test
  void aConnectionThatEndsWithARequestOutLosesItUnlessItsRouterWasKilled() {
    asked("read", 1000).told(HistoryEvent.ClientOutcome.DISCONNECTED, 1500, 0).breaks("one-answer");
    line(new HistoryEvent.RouterStopped(1500 * MILLI, 1500 * MILLI, 0, false)).breaks();
  }

  @Test
  void aPlannedStopExcusesNothing() {
    asked("read", 1000)
        .told(HistoryEvent.ClientOutcome.DISCONNECTED, 1500, 0)
        .line(new HistoryEvent.RouterStopped(1200 * MILLI, 1200 * MILLI, 0, true))
        .breaks("one-answer");
  }

  @Test
  void aKillOfAnotherRouterOrBeforeTheRequestExcusesNothing() {
    asked("read", 1000)
        .told(HistoryEvent.ClientOutcome.DISCONNECTED, 1500, 0)
        .line(new HistoryEvent.RouterStopped(1200 * MILLI, 1200 * MILLI, 1, false))
        .line(new HistoryEvent.RouterStopped(900 * MILLI, 900 * MILLI, 0, false))
        .breaks("one-answer");
  }

  @Test
  void anAnswerMayComeAsMuchLaterAsTheSlackAndAsTheMachineStoodStill() {
    asked("read", 1000).told(HistoryEvent.ClientOutcome.FAILED, 2020, 0).breaks();
  }

  /** Answers on a connection come in the order of its commands. */
  @Test
  void whatAnAnswerWaitsForThoseInFrontOfItDoesNotCount() {
    asked("read", 1000).told(HistoryEvent.ClientOutcome.FAILED, 2500, 0).breaks("one-answer");
    line(new HistoryEvent.PrecedingAnswersArrived(2495 * MILLI, "id")).breaks();
  }

  @Test
  void anAnswerIsLateAlsoAfterThoseInFrontOfIt() {
    asked("read", 1000)
        .told(HistoryEvent.ClientOutcome.FAILED, 2525, 0)
        .line(new HistoryEvent.PrecedingAnswersArrived(2495 * MILLI, "id"))
        .breaks("one-answer");
  }

  @Test
  void aCommandThatHasBegunIsLetComeUnlessItsRouterStops() {
    line(new HistoryEvent.ConnectionCutWhileWriting(1500 * MILLI, "id", 0, 1450 * MILLI, true))
        .breaks("one-answer");
    assertEquals("its connection ended over a command that had begun", firstOffence());
    line(new HistoryEvent.RouterStopped(1600 * MILLI, 1600 * MILLI, 0, true)).breaks("one-answer");
    line(new HistoryEvent.RouterStopped(1400 * MILLI, 1400 * MILLI, 0, true)).breaks();
  }

  @Test
  void anEndLongAfterCommandsHadBegunDoesNotCrossThem() {
    asked("read", 1000)
        .line(new HistoryEvent.RequestCrossedClose(1145 * MILLI, "id", 1000 * MILLI))
        .breaks();
    line(new HistoryEvent.RequestCrossedClose(1155 * MILLI, "id", 1000 * MILLI))
        .breaks("one-answer");
    line(new HistoryEvent.MachinePaused(1100 * MILLI, 1110 * MILLI)).breaks();
  }

  @Test
  void aCommandMayCrossTheEndOfARestingConnectionOnly() {
    line(new HistoryEvent.ConnectionCutWhileWriting(1500 * MILLI, "id", 0, 1490 * MILLI, true))
        .breaks();
    line(new HistoryEvent.ConnectionCutWhileWriting(1500 * MILLI, "id", 0, 1490 * MILLI, false))
        .breaks("one-answer");
  }

  /**
   * A client that has left is owed nothing, and nothing is begun for it once its close can be seen.
   */
  @Test
  void nothingIsSentForAClientThatHasLeft() {
    asked("read", 1000).told(HistoryEvent.ClientOutcome.ABANDONED, 1010, 0).breaks();
    sent(1, "c1", 1100).made(1, HistoryEvent.ServerAnswer.VALUE, 1120).breaks();
    sent(2, "c2", 1400).made(2, HistoryEvent.ServerAnswer.VALUE, 1420).breaks("nothing-after");
  }

  @Test
  void aLateAnswerIsLate() {
    asked("read", 1000).told(HistoryEvent.ClientOutcome.FAILED, 2025, 0).breaks("one-answer");
    line(new HistoryEvent.MachinePaused(1500 * MILLI, 1503 * MILLI))
        .line(new HistoryEvent.MachinePaused(1501 * MILLI, 1504 * MILLI))
        .breaks("one-answer");
    line(new HistoryEvent.MachinePaused(1506 * MILLI, 1510 * MILLI)).breaks();
  }

  @Test
  void aCloseThatCrossesARequestIsNoLossUnlessItHadBeenTaken() {
    asked("read", 1000)
        .line(new HistoryEvent.RequestCrossedClose(1005 * MILLI, "id"))
        .asked("read", 1006)
        .sent(1, "c1", 1010)
        .made(1, HistoryEvent.ServerAnswer.VALUE, 1030)
        .told(HistoryEvent.ClientOutcome.SERVED, 1040, 1)
        .breaks();
    line(new HistoryEvent.RequestCrossedClose(1050 * MILLI, "id")).breaks("one-answer");
  }

  /**
   * Up to the end of the process it may take requests; and the clients may see the end before the
   * kit does.
   */
  @Test
  void aKillExcusesWhatCameBetweenTheSignalAndTheEnd() {
    line(new HistoryEvent.RouterStopped(990 * MILLI, 1005 * MILLI, 0, false));
    asked("read", 1000).told(HistoryEvent.ClientOutcome.DISCONNECTED, 1003, 0).breaks();
    sent(1, "c1", 1001)
        .ended(1, 1003)
        .line(new HistoryEvent.RequestCrossedClose(1004 * MILLI, "id"))
        .breaks();
  }

  @Test
  void aValueThatWasMadeForAnotherRequestIsNotItsOwn() {
    asked("read", 1000)
        .sent(1, "c1", 1010)
        .made(1, HistoryEvent.ServerAnswer.VALUE, 1030)
        .told(HistoryEvent.ClientOutcome.SERVED, 1040, 77)
        .breaks("made-for-it");
  }

  @Test
  void aSpoiltValueMustNotBeServed() {
    asked("read", 1000)
        .sent(1, "c1", 1010)
        .made(1, HistoryEvent.ServerAnswer.DAMAGED_VALUE, 1030)
        .told(HistoryEvent.ClientOutcome.SERVED, 1040, 1)
        .breaks("made-for-it");
  }

  @Test
  void anUnsafeRequestGoesAgainOnlyAfterATurnAway() {
    asked("ack", 1000)
        .sent(1, "c1", 1010)
        .made(1, HistoryEvent.ServerAnswer.BUSY, 1020)
        .sent(2, "c2", 1030)
        .made(2, HistoryEvent.ServerAnswer.VALUE, 1040)
        .told(HistoryEvent.ClientOutcome.SERVED, 1050, 2)
        .breaks();
  }

  @Test
  void anUnsafeRequestThatMayHaveRunMustNotGoAgain() {
    asked("ack", 1000)
        .sent(1, "c1", 1010)
        .ended(1, 1020)
        .sent(2, "c2", 1030)
        .made(2, HistoryEvent.ServerAnswer.VALUE, 1040)
        .told(HistoryEvent.ClientOutcome.SERVED, 1050, 2)
        .breaks("no-effect-twice");
  }

  @Test
  void aTurnAwayThatComesAfterTheSecondSendExcusesNothing() {
    asked("ack", 1000)
        .sent(1, "c1", 1010)
        .sent(2, "c2", 1030)
        .made(1, HistoryEvent.ServerAnswer.BUSY, 1035)
        .made(2, HistoryEvent.ServerAnswer.VALUE, 1040)
        .told(HistoryEvent.ClientOutcome.SERVED, 1050, 2)
        .breaks("no-effect-twice");
  }

  @Test
  void aKeyedRequestGoesAgainWithinItsGroupAndWindow() {
    asked("put", 1000)
        .sent(1, "c1", 1010)
        .ended(1, 1020)
        .sent(2, "c2", 1030)
        .made(2, HistoryEvent.ServerAnswer.VALUE, 1040)
        .line(new HistoryEvent.CommandExecuted(1015 * MILLI, 1, false))
        .line(new HistoryEvent.CommandExecuted(1035 * MILLI, 2, true))
        .told(HistoryEvent.ClientOutcome.SERVED, 1050, 2)
        .breaks();
  }

  @Test
  void aKeyedRequestMustNotLeaveItsGroup() {
    asked("put", 1000)
        .sent(1, "c1", 1010)
        .ended(1, 1020)
        .sent(2, "c3", 1030)
        .made(2, HistoryEvent.ServerAnswer.VALUE, 1040)
        .told(HistoryEvent.ClientOutcome.SERVED, 1050, 2)
        .breaks("no-effect-twice");
  }

  @Test
  void aKeyedRequestMustNotGoAgainAfterItsWindow() {
    lines.add(
        new HistoryEvent.RequestWritten(1000 * MILLI, "id", "put", "key", null, 0, 9000 * MILLI));
    sent(1, "c1", 1010)
        .ended(1, 1020)
        .sent(2, "c2", 3070)
        .made(2, HistoryEvent.ServerAnswer.VALUE, 3080)
        .told(HistoryEvent.ClientOutcome.SERVED, 3090, 2)
        .breaks("no-effect-twice");
  }

  @Test
  void anEffectThatCameAboutTwiceIsSeenWhateverTheReason() {
    asked("put", 1000)
        .sent(1, "c1", 1010)
        .ended(1, 1020)
        .sent(2, "c2", 1030)
        .made(2, HistoryEvent.ServerAnswer.VALUE, 1040)
        .line(new HistoryEvent.CommandExecuted(1015 * MILLI, 1, false))
        .line(new HistoryEvent.CommandExecuted(1035 * MILLI, 2, false))
        .told(HistoryEvent.ClientOutcome.SERVED, 1050, 2)
        .breaks("no-effect-twice");
  }

  /**
   * A first copy that stood still for longer than the window: no send broke a rule, but somebody
   * must know.
   */
  @Test
  void aKeyedEffectAfterItsKeyWasForgottenIsNoted() {
    asked("put", 1000)
        .sent(1, "c1", 1010)
        .ended(1, 1020)
        .sent(2, "c2", 1030)
        .made(2, HistoryEvent.ServerAnswer.VALUE, 1040)
        .line(new HistoryEvent.CommandExecuted(1035 * MILLI, 2, false))
        .line(new HistoryEvent.CommandExecuted(3035 * MILLI, 1, false))
        .told(HistoryEvent.ClientOutcome.SERVED, 1050, 2)
        .breaks();
    assertEquals(
        1, HistoryChecker.check(terms, lines).stream().mapToInt(v -> v.notes().size()).sum());
  }

  @Test
  void theStoryOfARequestHasAllThatBelongsToIt() {
    served("read").ended(1, 1050).line(new HistoryEvent.CommandExecuted(1020 * MILLI, 1, false));
    lines.add(
        new HistoryEvent.ResponseReceived(
            900 * MILLI, "other", HistoryEvent.ClientOutcome.FAILED, 0));
    assertEquals(
        List.of(
            "0.0000 s client asked router 0: read key, until 1.0000 s",
            "0.0100 s c1 read #1 of router 0 on connection 1",
            "0.0300 s #1 answered: value",
            "0.0400 s client: served",
            "0.0500 s connection 1 ended",
            "0.0200 s #1 ran"),
        RequestTrace.of(lines, "id", 1000 * MILLI));
  }

  @Test
  void aSecondCopyIsSeenWhereNoneIsAllowed() {
    terms = terms(false);
    asked("read", 1000)
        .sent(1, "c1", 1010)
        .sent(2, "c2", 1030)
        .made(2, HistoryEvent.ServerAnswer.VALUE, 1040)
        .ended(1, 1041)
        .told(HistoryEvent.ClientOutcome.SERVED, 1045, 2)
        .breaks("second-copies");
    terms = TERMS;
    breaks();
  }

  @Test
  void anEndThatIsSeenATurnLaterCameBeforeTheSecondSend() {
    terms = terms(false);
    asked("read", 1000)
        .sent(1, "c1", 1010)
        .sent(2, "c2", 1030)
        .ended(1, 1031)
        .made(2, HistoryEvent.ServerAnswer.VALUE, 1040)
        .told(HistoryEvent.ClientOutcome.SERVED, 1045, 2)
        .breaks();
  }

  @Test
  void attemptsAreCounted() {
    asked("read", 1000);
    for (int i = 1; i <= 4; i++) {
      sent(i, "c1", 1000 + 10 * i).made(i, HistoryEvent.ServerAnswer.ERROR, 1005 + 10 * i);
    }
    told(HistoryEvent.ClientOutcome.FAILED, 1100, 0).breaks("attempts");
  }

  @Test
  void anUnsafeRequestThatMayHaveRunMustNotBeRefused() {
    asked("ack", 1000)
        .sent(1, "c1", 1010)
        .ended(1, 1020)
        .told(HistoryEvent.ClientOutcome.REJECTED, 1030, 0)
        .breaks("harmless-refusal");
  }

  @Test
  void refusalsAreHarmlessForReadsAndForWhatWasTurnedAway() {
    asked("read", 1000)
        .sent(1, "c1", 1010)
        .ended(1, 1020)
        .told(HistoryEvent.ClientOutcome.REJECTED, 1030, 0)
        .breaks();
    lines.removeIf(
        e ->
            !(e instanceof HistoryEvent.CacheServerStarted
                || e instanceof HistoryEvent.RouterNotified));
    asked("ack", 1000)
        .sent(1, "c1", 1010)
        .made(1, HistoryEvent.ServerAnswer.BUSY, 1020)
        .told(HistoryEvent.ClientOutcome.REJECTED, 1030, 0)
        .breaks();
  }

  @Test
  void nothingMoreIsSentAfterTheAnswer() {
    served("read").sent(2, "c2", 1080).ended(2, 1081).breaks();
    sent(3, "c2", 1095).ended(3, 1096).breaks("nothing-after");
  }

  @Test
  void aCommandThatNoClientAskedForIsSeen() {
    sent(1, "c1", 1010).made(1, HistoryEvent.ServerAnswer.VALUE, 1020).breaks("passed-on");
  }

  @Test
  void whatCannotBeReadIsSeen() {
    served("read")
        .line(new HistoryEvent.UnreadableCommand(1010 * MILLI, "c1", 0, "noise"))
        .breaks("passed-on");
  }

  @Test
  void workAfterTheGraceOfADrainIsSeen() {
    line(new HistoryEvent.RouterNotified(
            500 * MILLI, 0, "c1", HistoryEvent.ListingState.DRAINING, 0))
        .served("read")
        .breaks();
    line(new HistoryEvent.RouterNotified(
            400 * MILLI, 0, "c1", HistoryEvent.ListingState.DRAINING, 0))
        .breaks("drains-kept");
  }

  /**
   * A send counts from its first byte: one that was half written at the end of the grace may go on.
   */
  @Test
  void aSendThatWasBegunInTimeMayEndAfterTheGrace() {
    line(new HistoryEvent.RouterNotified(
            400 * MILLI, 0, "c1", HistoryEvent.ListingState.DRAINING, 0))
        .asked("read", 800);
    line(new HistoryEvent.AttemptArrived(
            1800 * MILLI, 900 * MILLI, 1, 1, "c1", 0, 1, "id", "read", "key", MILLI))
        .made(1, HistoryEvent.ServerAnswer.BUSY, 1801)
        .told(HistoryEvent.ClientOutcome.REJECTED, 1801, 0)
        .breaks();
  }

  @Test
  void aServerThatIsGoneAfterItsDrainCountsFromTheDrain() {
    line(new HistoryEvent.RouterNotified(
            400 * MILLI, 0, "c1", HistoryEvent.ListingState.DRAINING, 0))
        .line(
            new HistoryEvent.RouterNotified(
                900 * MILLI, 0, "c1", HistoryEvent.ListingState.GONE, 0))
        .served("read")
        .breaks("drains-kept");
  }

  @Test
  void aServerThatIsBackMayHaveWork() {
    line(new HistoryEvent.RouterNotified(
            400 * MILLI, 0, "c1", HistoryEvent.ListingState.DRAINING, 0))
        .line(
            new HistoryEvent.RouterNotified(
                900 * MILLI, 0, "c1", HistoryEvent.ListingState.READY, 0))
        .served("read")
        .breaks();
  }

  @Test
  void anotherRoutersNewsDoNotBindThisOne() {
    line(new HistoryEvent.RouterNotified(100 * MILLI, 1, "c1", HistoryEvent.ListingState.GONE, 0))
        .served("read")
        .breaks();
  }

  @Test
  void aRouterThatNeverAskedCountsAsTold() {
    line(new HistoryEvent.ListingChanged(2 * MILLI, "c1", HistoryEvent.ListingState.GONE));
    asked("read", 20_000)
        .sent(1, "c1", 20_010)
        .made(1, HistoryEvent.ServerAnswer.VALUE, 20_020)
        .told(HistoryEvent.ClientOutcome.SERVED, 20_030, 1)
        .breaks();
    lines.removeIf(e -> e instanceof HistoryEvent.DiscoveryPolled);
    breaks("drains-kept");
    line(new HistoryEvent.DiscoveryReachability(SECOND, false)).breaks();
  }

  @Test
  void aColdServerOverItsBudgetInAnyWindowIsSeen() {
    line(new HistoryEvent.CacheServerStarted(SECOND, "c1", "east", 0, SECOND, 2));
    for (int i = 1; i <= 170; i++) {
      lines.add(
          new HistoryEvent.RequestWritten(SECOND, "id" + i, "read", "key", null, 0, 2 * SECOND));
      lines.add(
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
      made(i, HistoryEvent.ServerAnswer.VALUE, 1300)
          .line(
              new HistoryEvent.ResponseReceived(
                  SECOND + 400 * MILLI, "id" + i, HistoryEvent.ClientOutcome.SERVED, i));
    }
    breaks();
    for (int i = 171; i <= 180; i++) {
      sent(i, "c1", 1180).ended(i, 1190);
    }
    breaks("attempts", "passed-on", "cold-kept");
  }

  @Test
  void aCollapseOfAServerIsSeen() {
    line(new HistoryEvent.ServerCollapsed(SECOND, "c2")).breaks("cold-kept");
  }

  @Test
  void theOriginsFallIsPutDownToColdServersOnlyWhereTheyAskedMost() {
    line(new HistoryEvent.OriginFetched(900 * MILLI, "c1", false, 5))
        .line(new HistoryEvent.OriginFetched(910 * MILLI, "c1", false, 6))
        .line(new HistoryEvent.OriginFetched(950 * MILLI, "c2", true, 7))
        .line(new HistoryEvent.ServerCollapsed(SECOND, "origin"));
    breaks();
    line(new HistoryEvent.OriginFetched(960 * MILLI, "c2", true, 8)).breaks("origin-kept");
  }

  @Test
  void whatIsStillOutAtTheEndIsSeen() {
    asked("read", 1000)
        .sent(1, "c1", 1010)
        .told(HistoryEvent.ClientOutcome.FAILED, 1500, 0)
        .breaks("books-balance");
    ended(1, 1510).breaks();
  }

  @Test
  void anAnswerWithoutARequestIsSeen() {
    told(HistoryEvent.ClientOutcome.SERVED, 1500, 0).breaks("made-for-it", "books-balance");
  }

  @Test
  void aRouterThatEndsByItselfIsSeen() {
    line(new HistoryEvent.RouterDied(SECOND, 0, "ended by itself")).breaks("routers-run");
  }

  private HistoryCheckerTest version(
      long number, HistoryEvent.VersionStage step, long millis, String out) {
    return version(number, step, millis, out, 0);
  }

  private HistoryCheckerTest version(
      long number, HistoryEvent.VersionStage step, long millis, String out, int mostTries) {
    return line(
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
    sent(1, "c2", 3500);
    assertEquals(List.of(), contradictions());
    sent(2, "c1", 1300);
    assertEquals(
        List.of(
            "router 0 acts on version 2 200.0 ms before it is in force",
            "router 0 acts on version 1 2200.0 ms after router 0 acted on version 2"),
        contradictions());
    assertEquals(2200 * MILLI, contradiction().maxNanos());
    lines.remove(lines.size() - 1);
    sent(3, "c2", 3600);
    assertEquals(
        List.of("router 0 acts on version 1 2100.0 ms after version 2 came into force"),
        contradictions());
    version(3, HistoryEvent.VersionStage.PROPOSED, 3590, "c1");
    assertEquals(
        List.of("router 0 acts on version 3, which never came into force"), contradictions());
  }

  /** Who is not on the roster was not asked for its yes. */
  @Test
  void whoHasLeftContradictsNobody() {
    version(1, HistoryEvent.VersionStage.PROPOSED, 100, "c1")
        .version(1, HistoryEvent.VersionStage.IN_FORCE, 200, "c1");
    line(new HistoryEvent.MembershipChanged(150 * MILLI, 0, false)).sent(1, "c1", 4000);
    assertEquals(List.of(), contradictions());
    line(new HistoryEvent.MembershipChanged(4100 * MILLI, 0, true)).sent(2, "c1", 4200);
    assertEquals(List.of(), contradictions(), "it has the stated time from when it joined");
    sent(3, "c1", 6200);
    assertEquals(
        List.of("router 0 acts on version 0 2100.0 ms after version 1 came into force"),
        contradictions());
  }

  /** Sends beyond the number that the later of two versions allows. */
  @Test
  void sendingAsOftenAsAnOlderVersionAllowedIsSeen() {
    version(1, HistoryEvent.VersionStage.PROPOSED, 100, "c9", 3)
        .version(1, HistoryEvent.VersionStage.IN_FORCE, 200, "c9", 3);
    version(2, HistoryEvent.VersionStage.PROPOSED, 1000, "c9", 1)
        .version(2, HistoryEvent.VersionStage.IN_FORCE, 1500, "c9", 1);
    sent(1, "c1", 3300).sent(2, "c1", 3400);
    assertEquals(List.of(), contradictions());
    sent(3, "c1", 3700);
    assertEquals(
        List.of(
            "router 0 acts on version 1 with send 3 of a request 2200.0 ms after version 2"
                + " came into force"),
        contradictions());
  }

  private HistoryCheckerTest rule(
      long number, HistoryEvent.VersionStage step, long millis, Set<String> unsafe, boolean lists) {
    return line(
        new HistoryEvent.VersionStageReached(
            millis * MILLI, number, step, Set.of(), 0, unsafe, lists));
  }

  /** A class that is unsafe in the later version is repeated; one that is no more, too early. */
  @Test
  void repeatingWhatAnotherVersionForbidsIsSeen() {
    Set<String> read = Set.of("read");
    rule(1, HistoryEvent.VersionStage.PROPOSED, 100, read, false)
        .rule(1, HistoryEvent.VersionStage.IN_FORCE, 200, read, false);
    asked("read", 2000).sent(1, "c1", 2100).sent(2, "c2", 2150);
    assertEquals(List.of(), contradictions());
    sent(3, "c1", 2300);
    assertEquals(
        List.of(
            "router 0 acts on version 0 with a repeat of what is unsafe by then 2100.0 ms"
                + " after version 1 came into force"),
        contradictions());
    lines.removeIf(e -> e instanceof HistoryEvent.AttemptArrived);
    sent(1, "c1", 2300).made(1, HistoryEvent.ServerAnswer.BUSY, 2310).sent(2, "c2", 2320);
    assertEquals(List.of(), contradictions(), "a turn-away never ran");
    rule(2, HistoryEvent.VersionStage.PROPOSED, 3000, Set.of(), false);
    rule(2, HistoryEvent.VersionStage.IN_FORCE, 4000, Set.of(), false);
    sent(3, "c1", 3400);
    assertEquals(
        List.of("router 0 acts on version 2 600.0 ms before it is in force"), contradictions());
  }

  /** Of a version of the list each send to what had left it counts, until that is listed again. */
  @Test
  void actingOnAnOlderListThanTheVersionsIsSeen() {
    line(new HistoryEvent.ListingChanged(500 * MILLI, "c1", HistoryEvent.ListingState.DRAINING));
    rule(1, HistoryEvent.VersionStage.PROPOSED, 1000, Set.of(), true);
    rule(1, HistoryEvent.VersionStage.IN_FORCE, 1500, Set.of(), true);
    line(new HistoryEvent.ListingChanged(2000 * MILLI, "c2", HistoryEvent.ListingState.DRAINING));
    sent(1, "c1", 3400).sent(2, "c2", 4000).sent(3, "c3", 4000);
    assertEquals(List.of(), contradictions(), "c2 left later");
    sent(4, "c1", 3600);
    assertEquals(
        List.of(
            "router 0 acts on version 0's list, of before its server left it, 2100.0 ms"
                + " after version 1 came into force"),
        contradictions());
    line(new HistoryEvent.ListingChanged(3500 * MILLI, "c1", HistoryEvent.ListingState.READY));
    assertEquals(List.of(), contradictions());
  }

  private InvariantResult contradiction() {
    return HistoryChecker.check(terms, lines).stream()
        .filter(v -> v.invariant().equals("no-contradiction"))
        .findFirst()
        .orElseThrow();
  }

  private List<String> contradictions() {
    return contradiction().violations().stream().map(Violation::description).toList();
  }

  /**
   * A cut between discovery and a router: what was written meanwhile is heard when it is mended.
   */
  @Test
  void newsOnALinkThatPassesNothingAreHeardWhenItDoes() {
    line(new HistoryEvent.DiscoveryLinkChanged(900 * MILLI, 0, false));
    line(
        new HistoryEvent.RouterNotified(
            1000 * MILLI, 0, "c1", HistoryEvent.ListingState.DRAINING, 0));
    line(new HistoryEvent.DiscoveryLinkChanged(3000 * MILLI, 0, true));
    asked("read", 3300)
        .sent(1, "c1", 3310)
        .made(1, HistoryEvent.ServerAnswer.VALUE, 3330)
        .told(HistoryEvent.ClientOutcome.SERVED, 3340, 1)
        .breaks();
    lines.removeIf(e -> e instanceof HistoryEvent.DiscoveryLinkChanged);
    breaks("drains-kept");
  }

  @Test
  void theFirstOffenceIsTheEarliest() {
    asked("read", 1000).told(HistoryEvent.ClientOutcome.FAILED, 2500, 0);
    lines.add(
        new HistoryEvent.RequestWritten(500 * MILLI, "early", "read", "key", null, 0, 700 * MILLI));
    lines.add(
        new HistoryEvent.ResponseReceived(
            900 * MILLI, "early", HistoryEvent.ClientOutcome.FAILED, 0));
    InvariantResult one = HistoryChecker.check(terms, lines).get(0);
    assertEquals(2, one.violations().size());
    assertEquals("early", one.violations().get(0).requestId());
    assertEquals("answered 200.0 ms after its deadline", one.violations().get(0).description());
  }
}
