package beaconturn.history;

import java.util.List;

/** Every request that a router took has exactly one answer, in time. */
final class ExactlyOneAnswer extends Invariant {
  /**
   * Bytes that a client writes before it sees the end of its connection were on their way for so
   * long.
   */
  private static final long IN_TRANSIT_NANOS = 40_000_000;

  /** The end of a connection may cross whole commands that were begun at most so long before. */
  private static final long CROSSING_NANOS = 150_000_000;

  ExactlyOneAnswer() {
    super("one-answer", "exactly one final answer, before the deadline");
  }

  @Override
  void evaluate(HistoryIndex history) {
    checkCrossedCloses(history);
    checkCutConnections(history);
    for (RequestRecord request : history.requests()) {
      if (request.lastWrite() == null) {
        continue;
      }
      boolean abandoned = request.abandonedNanos() < Long.MAX_VALUE;
      if (!request.answers().isEmpty()) {
        checkAnswers(history, request);
      } else if (!request.isUntaken() && !abandoned) {
        checkMissingAnswer(history, request);
      }
    }
  }

  private void checkAnswers(HistoryIndex history, RequestRecord request) {
    List<HistoryEvent.RequestCompleted> answers = request.answers();
    check(
        answers.size() == 1,
        answers.get(answers.size() - 1).atNanos(),
        request.id(),
        "",
        answers.size() + " final answers");
    HistoryEvent.RequestWritten write = request.lastWrite();
    long allowedNanos = write.deadlineNanos() - write.atNanos();
    // What an answer waits for those that precede it on its connection does not count.
    long fromNanos = write.atNanos();
    if (request.precedingAnswersNanos() != 0) {
      fromNanos = Math.max(fromNanos, request.precedingAnswersNanos() - allowedNanos);
    }
    long answeredNanos = answers.get(0).atNanos();
    long lateNanos = history.elapsedNanos(fromNanos, answeredNanos) - allowedNanos;
    boolean inTime = lateNanos <= history.bounds().answerSlackNanos();
    check(
        inTime || routerWasDown(history, write, answeredNanos),
        answeredNanos,
        request.id(),
        "",
        "answered " + millis(lateNanos) + " after its deadline");
  }

  /**
   * The close of a connection may cross a request that was not read; a request of which an attempt
   * was sent had been taken.
   */
  private void checkCrossedCloses(HistoryIndex history) {
    for (HistoryEvent.RequestRacedClose crossed :
        history.events(HistoryEvent.RequestRacedClose.class)) {
      RequestRecord request = history.request(crossed.requestId());
      long atNanos = crossed.atNanos();
      boolean taken = request.attempts().stream().anyMatch(attempt -> attempt.atNanos() < atNanos);
      boolean down = routerWasDown(history, request.firstWrite(), atNanos);
      check(!taken || down, atNanos, request.id(), "", "its connection ended after it was taken");
      boolean tooLong = history.elapsedNanos(crossed.begunNanos(), atNanos) > CROSSING_NANOS;
      check(!tooLong || down, atNanos, request.id(), "", "its connection ended with no answer");
    }
  }

  /**
   * A command that has begun to arrive is received to its end, except by a router that stops, or
   * where it crosses the end of an idle connection.
   */
  private void checkCutConnections(HistoryIndex history) {
    for (HistoryEvent.ConnectionClosedWhileWriting cut :
        history.events(HistoryEvent.ConnectionClosedWhileWriting.class)) {
      boolean stopped =
          history.events(HistoryEvent.RouterStopped.class).stream()
              .filter(stop -> stop.router() == cut.router())
              .anyMatch(stop -> stop.atNanos() <= cut.atNanos());
      long writingNanos = history.elapsedNanos(cut.begunNanos(), cut.atNanos());
      boolean crossed = cut.idle() && writingNanos <= IN_TRANSIT_NANOS;
      check(
          stopped || crossed,
          cut.atNanos(),
          cut.requestId(),
          "router " + cut.router(),
          "its connection ended over a command that had begun");
    }
  }

  /**
   * Checks a request without an answer: only one that a router held when it was killed may have
   * none, as its client has to send it again.
   */
  private void checkMissingAnswer(HistoryIndex history, RequestRecord request) {
    HistoryEvent.RequestWritten write = request.lastWrite();
    List<HistoryEvent.RequestCompleted> responses = request.responses();
    long endedNanos = responses.isEmpty() ? write.deadlineNanos() : responses.get(0).atNanos();
    boolean disconnected =
        responses.stream()
            .anyMatch(response -> response.outcome() == HistoryEvent.ClientOutcome.DISCONNECTED);
    check(
        routerWasDown(history, write, endedNanos),
        endedNanos,
        request.id(),
        "",
        disconnected ? "its connection ended with no answer" : "never answered");
  }

  /** Whether the router was killed or paused while it had the request, which ended at a time. */
  private static boolean routerWasDown(
      HistoryIndex history, HistoryEvent.RequestWritten write, long endedNanos) {
    long slackNanos = history.bounds().sendSlackNanos();
    return history.events(HistoryEvent.RouterStopped.class).stream()
        .filter(stop -> !stop.planned() && stop.router() == write.router())
        .filter(stop -> stop.atNanos() <= endedNanos)
        .anyMatch(stop -> write.atNanos() <= stop.untilNanos() + slackNanos);
  }
}
