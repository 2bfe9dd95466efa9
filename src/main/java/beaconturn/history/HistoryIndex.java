package beaconturn.history;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Indexes the events of a history by kind and by request. */
final class HistoryIndex {
  private final InvariantBounds bounds;
  private final Map<String, RequestRecord> requests = new LinkedHashMap<>();
  private final Map<Long, HistoryEvent.ResponseSent> responses = new HashMap<>();
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
    } else if (event instanceof HistoryEvent.RequestCompleted completion) {
      request(completion.requestId()).add(completion);
    } else if (event instanceof HistoryEvent.AttemptArrived attempt) {
      request(attempt.requestId()).add(attempt);
    } else if (event instanceof HistoryEvent.RequestRacedClose race) {
      request(race.requestId()).addCloseRace();
    } else if (event instanceof HistoryEvent.PrecedingResponsesReceived arrived) {
      request(arrived.requestId()).setPrecedingResponsesNanos(arrived.atNanos());
    } else {
      return false;
    }
    return true;
  }

  private void addToCommand(HistoryEvent event) {
    if (event instanceof HistoryEvent.ResponseSent response) {
      responses.put(response.commandNumber(), response);
    } else if (event instanceof HistoryEvent.CommandExecuted execution) {
      executions.putIfAbsent(execution.commandNumber(), execution);
    } else if (event instanceof HistoryEvent.ServerConnectionEnded end) {
      connectionEnds.put(end.connectionId(), end);
    }
  }

  InvariantBounds bounds() {
    return bounds;
  }

  /** Returns the record of a request; it is empty if no event mentions the request. */
  RequestRecord request(String id) {
    return requests.computeIfAbsent(id, RequestRecord::new);
  }

  /** Returns all requests, including those of which only attempts or responses are recorded. */
  Iterable<RequestRecord> requests() {
    return requests.values();
  }

  /** Returns all events of a kind in the order in which they were recorded. */
  @SuppressWarnings("unchecked")
  <T extends HistoryEvent> List<T> events(Class<T> kind) {
    // The cast is safe because events are indexed by their class. The list is not copied because
    // invariants call this method in loops.
    return (List<T>) eventsByKind.getOrDefault(kind, List.of());
  }

  /** Returns the response to an attempt, or null. */
  HistoryEvent.ResponseSent responseTo(HistoryEvent.AttemptArrived attempt) {
    return responses.get(attempt.commandNumber());
  }

  /** Returns the execution of an attempt, or null. */
  HistoryEvent.CommandExecuted executionOf(HistoryEvent.AttemptArrived attempt) {
    return executions.get(attempt.commandNumber());
  }

  /** Returns the end of the connection of an attempt, or null. */
  HistoryEvent.ServerConnectionEnded connectionEndOf(HistoryEvent.AttemptArrived attempt) {
    return connectionEnds.get(attempt.connectionId());
  }

  /**
   * Returns whether an attempt may have run by a time. Only a rejection sent by then rules it out.
   */
  boolean mayHaveRun(HistoryEvent.AttemptArrived attempt, long byNanos) {
    HistoryEvent.ResponseSent response = responseTo(attempt);
    return response == null
        || response.response() != HistoryEvent.ServerResponse.BUSY
        || response.atNanos() > byNanos;
  }

  /** Returns the time between two times, without the pauses of the machine. */
  long elapsedNanos(long fromNanos, long toNanos) {
    return pauses.elapsedNanos(fromNanos, toNanos);
  }
}
