package beaconturn.history;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The events of a history, by kind and by request. */
final class HistoryIndex {
  private final InvariantBounds bounds;
  private final Map<String, RequestRecord> requests = new LinkedHashMap<>();
  private final Map<Long, HistoryEvent.ResponseSent> answers = new HashMap<>();
  private final Map<Long, HistoryEvent.CommandExecuted> executions = new HashMap<>();
  private final Map<Long, HistoryEvent.ServerConnectionEnded> connectionEnds = new HashMap<>();
  private final Map<Class<?>, List<HistoryEvent>> eventsByKind = new HashMap<>();
  private final MachinePauses pauses;

  HistoryIndex(InvariantBounds bounds, List<HistoryEvent> events) {
    this.bounds = bounds;
    for (HistoryEvent event : events) {
      eventsByKind.computeIfAbsent(event.getClass(), kind -> new ArrayList<>()).add(event);
      if (!addToRequest(event)) {
        addToCommand(event);
      }
    }
    pauses = MachinePauses.of(events);
  }

  private boolean addToRequest(HistoryEvent event) {
    if (event instanceof HistoryEvent.RequestWritten write) {
      request(write.requestId()).add(write);
    } else if (event instanceof HistoryEvent.RequestCompleted response) {
      request(response.requestId()).add(response);
    } else if (event instanceof HistoryEvent.AttemptArrived attempt) {
      request(attempt.requestId()).add(attempt);
    } else if (event instanceof HistoryEvent.RequestRacedClose crossed) {
      request(crossed.requestId()).addCrossedClose();
    } else if (event instanceof HistoryEvent.PrecedingResponsesReceived arrived) {
      request(arrived.requestId()).setPrecedingAnswersNanos(arrived.atNanos());
    } else {
      return false;
    }
    return true;
  }

  private void addToCommand(HistoryEvent event) {
    if (event instanceof HistoryEvent.ResponseSent answer) {
      answers.put(answer.commandNumber(), answer);
    } else if (event instanceof HistoryEvent.CommandExecuted execution) {
      executions.putIfAbsent(execution.commandNumber(), execution);
    } else if (event instanceof HistoryEvent.ServerConnectionEnded end) {
      connectionEnds.put(end.connectionId(), end);
    }
  }

  InvariantBounds bounds() {
    return bounds;
  }

  /** The request of that id; one that no event is about is without events. */
  RequestRecord request(String id) {
    return requests.computeIfAbsent(id, RequestRecord::new);
  }

  /** All requests, also those that no client has written. */
  Iterable<RequestRecord> requests() {
    return requests.values();
  }

  /** All events of a kind in their order. */
  @SuppressWarnings("unchecked")
  <T extends HistoryEvent> List<T> events(Class<T> kind) {
    // Events are filed under their own class, so that the cast is safe; invariants call this in
    // loops, so that the list is not copied.
    return (List<T>) eventsByKind.getOrDefault(kind, List.of());
  }

  /** How an attempt was answered, or null. */
  HistoryEvent.ResponseSent answerTo(HistoryEvent.AttemptArrived attempt) {
    return answers.get(attempt.commandNumber());
  }

  /** How an attempt ran, or null. */
  HistoryEvent.CommandExecuted executionOf(HistoryEvent.AttemptArrived attempt) {
    return executions.get(attempt.commandNumber());
  }

  /** How the connection of an attempt ended, or null. */
  HistoryEvent.ServerConnectionEnded connectionEndOf(HistoryEvent.AttemptArrived attempt) {
    return connectionEnds.get(attempt.connectionId());
  }

  /**
   * Whether an attempt may have run by a time: once it has arrived, only a rejection before that
   * time rules it out.
   */
  boolean mayHaveRun(HistoryEvent.AttemptArrived attempt, long byNanos) {
    HistoryEvent.ResponseSent answer = answerTo(attempt);
    return answer == null
        || answer.answer() != HistoryEvent.ServerResponse.BUSY
        || answer.atNanos() > byNanos;
  }

  /** Time between two times, less what the machine did not let the rehearsal run. */
  long elapsedNanos(long fromNanos, long toNanos) {
    return pauses.elapsedNanos(fromNanos, toNanos);
  }
}
