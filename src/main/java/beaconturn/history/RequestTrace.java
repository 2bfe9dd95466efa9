package beaconturn.history;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/** Renders the events of one request as lines of text, which reports print with a violation. */
public final class RequestTrace {
  private static final double NANOS_PER_SECOND = 1e9;
  private final String requestId;
  private final long startNanos;
  private final Set<Long> commandNumbers = new HashSet<>();
  private final Set<Long> connectionIds = new HashSet<>();
  private final List<String> lines = new ArrayList<>();

  private RequestTrace(String requestId, long startNanos) {
    this.requestId = requestId;
    this.startNanos = startNanos;
  }

  /** Returns one line for each event of the request, with times relative to the start. */
  public static List<String> of(List<HistoryEvent> events, String requestId, long startNanos) {
    RequestTrace trace = new RequestTrace(requestId, startNanos);
    events.forEach(trace::add);
    return trace.lines;
  }

  private void add(HistoryEvent event) {
    if (event instanceof HistoryEvent.AttemptArrived attempt) {
      addAttempt(attempt);
    } else if (!addClientEvent(event)) {
      addServerEvent(event);
    }
  }

  private boolean addClientEvent(HistoryEvent event) {
    if (event instanceof HistoryEvent.RequestWritten write) {
      if (write.requestId().equals(requestId)) {
        addWrite(write);
      }
    } else if (event instanceof HistoryEvent.RequestCompleted completion) {
      if (completion.requestId().equals(requestId)) {
        addLine(completion.atNanos(), "client: " + completion.outcome().label());
      }
    } else if (event instanceof HistoryEvent.RequestRacedClose race) {
      if (race.requestId().equals(requestId)) {
        addLine(race.atNanos(), "client found the connection closed, asks once more");
      }
    } else {
      return false;
    }
    return true;
  }

  private void addWrite(HistoryEvent.RequestWritten write) {
    String idempotencyKey = write.idempotencyKey() == null ? "" : " once " + write.idempotencyKey();
    addLine(
        write.atNanos(),
        "client asked router "
            + write.router()
            + ": "
            + write.requestClass()
            + " "
            + write.key()
            + idempotencyKey
            + ", until "
            + seconds(write.deadlineNanos()));
  }

  private void addAttempt(HistoryEvent.AttemptArrived attempt) {
    if (!attempt.requestId().equals(requestId)) {
      return;
    }
    commandNumbers.add(attempt.commandNumber());
    connectionIds.add(attempt.connectionId());
    boolean exact = attempt.earliestNanos() == attempt.atNanos();
    String earliest = exact ? "" : ", which may have come at " + seconds(attempt.earliestNanos());
    addLine(
        attempt.atNanos(),
        attempt.server()
            + " read #"
            + attempt.commandNumber()
            + " of router "
            + attempt.router()
            + " on connection "
            + attempt.connectionId()
            + earliest);
  }

  private void addServerEvent(HistoryEvent event) {
    if (event instanceof HistoryEvent.ResponseSent response
        && commandNumbers.contains(response.commandNumber())) {
      addLine(
          response.atNanos(),
          "#" + response.commandNumber() + " answered: " + response.response().label());
    } else if (event instanceof HistoryEvent.CommandExecuted execution
        && commandNumbers.contains(execution.commandNumber())) {
      String result = execution.discarded() ? " discarded as a repeat" : " ran";
      addLine(execution.atNanos(), "#" + execution.commandNumber() + result);
    } else if (event instanceof HistoryEvent.ServerConnectionEnded end
        && connectionIds.contains(end.connectionId())) {
      addLine(end.atNanos(), "connection " + end.connectionId() + " ended");
    }
  }

  private void addLine(long atNanos, String text) {
    lines.add(seconds(atNanos) + " " + text);
  }

  private String seconds(long atNanos) {
    return String.format(Locale.ROOT, "%.4f s", (atNanos - startNanos) / NANOS_PER_SECOND);
  }
}
