package beaconturn.history;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/** All that a history has of one request as lines of text, to be read with a violation. */
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

  /** The lines of a request in their order; times count from the start. */
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
    } else if (event instanceof HistoryEvent.RequestCompleted response) {
      if (response.requestId().equals(requestId)) {
        addLine(response.atNanos(), "client: " + response.outcome().word());
      }
    } else if (event instanceof HistoryEvent.RequestRacedClose crossed) {
      if (crossed.requestId().equals(requestId)) {
        addLine(crossed.atNanos(), "client found the connection closed, asks once more");
      }
    } else {
      return false;
    }
    return true;
  }

  private void addWrite(HistoryEvent.RequestWritten write) {
    String key = write.idempotencyKey() == null ? "" : " once " + write.idempotencyKey();
    addLine(
        write.atNanos(),
        "client asked router "
            + write.router()
            + ": "
            + write.requestClass()
            + " "
            + write.key()
            + key
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
    if (event instanceof HistoryEvent.ResponseSent answer
        && commandNumbers.contains(answer.commandNumber())) {
      addLine(
          answer.atNanos(), "#" + answer.commandNumber() + " answered: " + answer.answer().word());
    } else if (event instanceof HistoryEvent.CommandExecuted execution
        && commandNumbers.contains(execution.commandNumber())) {
      String how = execution.discarded() ? " discarded as a repeat" : " ran";
      addLine(execution.atNanos(), "#" + execution.commandNumber() + how);
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
