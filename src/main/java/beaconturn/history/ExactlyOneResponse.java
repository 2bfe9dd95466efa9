package beaconturn.history;

import java.util.List;

/**
 * Checks that every request that a router accepted has exactly one response, before its deadline.
 */
final class ExactlyOneResponse extends Invariant {
  /** Maximum age of bytes that a client wrote before it saw its connection closed. */
  private static final long MAX_TRANSIT_NANOS = 40_000_000;

  /** Maximum time for which a client may have been writing commands that raced a close. */
  private static final long MAX_CLOSE_RACE_NANOS = 150_000_000;

  ExactlyOneResponse() {
    super("one-answer", "exactly one final answer, before the deadline");
  }

  @Override
  void evaluate(HistoryIndex history) {
    checkCloseRaces(history);
    checkClosedWhileWriting(history);
    for (RequestRecord request : history.requests()) {
      if (request.lastWrite() == null) {
        continue;
      }
      boolean abandoned = request.abandonedNanos() < Long.MAX_VALUE;
      if (!request.responses().isEmpty()) {
        checkResponses(history, request);
      } else if (!request.isNeverAccepted() && !abandoned) {
        checkMissingResponse(history, request);
      }
    }
  }

  private void checkResponses(HistoryIndex history, RequestRecord request) {
    List<HistoryEvent.RequestCompleted> responses = request.responses();
    check(
        responses.size() == 1,
        responses.get(responses.size() - 1).atNanos(),
        request.id(),
        "",
        responses.size() + " final answers");
    HistoryEvent.RequestWritten write = request.lastWrite();
    long allowedNanos = write.deadlineNanos() - write.atNanos();
    // Responses are sent in the order of the commands: waiting for preceding ones does not count.
    long fromNanos = write.atNanos();
    if (request.precedingResponsesNanos() != 0) {
      fromNanos = Math.max(fromNanos, request.precedingResponsesNanos() - allowedNanos);
    }
    long respondedNanos = responses.get(0).atNanos();
    long lateNanos = history.elapsedNanos(fromNanos, respondedNanos) - allowedNanos;
    boolean inTime = lateNanos <= history.bounds().responseSlackNanos();
    check(
        inTime || routerWasDown(history, write, respondedNanos),
        respondedNanos,
        request.id(),
        "",
        "answered " + millis(lateNanos) + " after its deadline");
  }

  /**
   * Checks requests that raced the close of their connection. Such a request must not have been
   * accepted: no attempt of it may have arrived before.
   */
  private void checkCloseRaces(HistoryIndex history) {
    for (HistoryEvent.RequestRacedClose race :
        history.events(HistoryEvent.RequestRacedClose.class)) {
      RequestRecord request = history.request(race.requestId());
      long atNanos = race.atNanos();
      boolean accepted =
          request.attempts().stream().anyMatch(attempt -> attempt.atNanos() < atNanos);
      boolean routerDown = routerWasDown(history, request.firstWrite(), atNanos);
      check(
          !accepted || routerDown,
          atNanos,
          request.id(),
          "",
          "its connection ended after it was taken");
      boolean tooLong =
          history.elapsedNanos(race.writeStartNanos(), atNanos) > MAX_CLOSE_RACE_NANOS;
      check(
          !tooLong || routerDown, atNanos, request.id(), "", "its connection ended with no answer");
    }
  }

  /**
   * Checks that no router closes a connection while a command arrives on it, unless the router is
   * stopping, or the connection was idle and the command was still in transit.
   */
  private void checkClosedWhileWriting(HistoryIndex history) {
    for (HistoryEvent.ConnectionClosedWhileWriting closed :
        history.events(HistoryEvent.ConnectionClosedWhileWriting.class)) {
      boolean stopped =
          history.events(HistoryEvent.RouterStopped.class).stream()
              .filter(stop -> stop.router() == closed.router())
              .anyMatch(stop -> stop.atNanos() <= closed.atNanos());
      long writingNanos = history.elapsedNanos(closed.writeStartNanos(), closed.atNanos());
      boolean racedClose = closed.idle() && writingNanos <= MAX_TRANSIT_NANOS;
      check(
          stopped || racedClose,
          closed.atNanos(),
          closed.requestId(),
          "router " + closed.router(),
          "its connection ended over a command that had begun");
    }
  }

  /**
   * Checks a request without a response: the router that held it must have been killed or paused.
   */
  private void checkMissingResponse(HistoryIndex history, RequestRecord request) {
    HistoryEvent.RequestWritten write = request.lastWrite();
    List<HistoryEvent.RequestCompleted> completions = request.completions();
    long endNanos = completions.isEmpty() ? write.deadlineNanos() : completions.get(0).atNanos();
    boolean disconnected =
        completions.stream()
            .anyMatch(
                completion -> completion.outcome() == HistoryEvent.ClientOutcome.DISCONNECTED);
    check(
        routerWasDown(history, write, endNanos),
        endNanos,
        request.id(),
        "",
        disconnected ? "its connection ended with no answer" : "never answered");
  }

  /**
   * Returns whether the router was killed or paused between the write of the request and its end.
   */
  private static boolean routerWasDown(
      HistoryIndex history, HistoryEvent.RequestWritten write, long endNanos) {
    long slackNanos = history.bounds().sendSlackNanos();
    return history.events(HistoryEvent.RouterStopped.class).stream()
        .filter(stop -> !stop.planned() && stop.router() == write.router())
        .filter(stop -> stop.atNanos() <= endNanos)
        .anyMatch(stop -> write.atNanos() <= stop.untilNanos() + slackNanos);
  }
}
