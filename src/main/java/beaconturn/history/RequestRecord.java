package beaconturn.history;

import java.util.ArrayList;
import java.util.List;

/** Collects the events of one request: its writes, attempts and completions. */
final class RequestRecord {
  private final String id;
  private final List<HistoryEvent.RequestWritten> writes = new ArrayList<>();
  private final List<HistoryEvent.RequestCompleted> completions = new ArrayList<>();
  private final List<HistoryEvent.AttemptArrived> attempts = new ArrayList<>();
  private int closeRaces;

  /** 0 if unknown. */
  private long precedingResponsesNanos;

  RequestRecord(String id) {
    this.id = id;
  }

  void add(HistoryEvent.RequestWritten write) {
    writes.add(write);
  }

  void add(HistoryEvent.RequestCompleted completion) {
    completions.add(completion);
  }

  void add(HistoryEvent.AttemptArrived attempt) {
    attempts.add(attempt);
  }

  void addCloseRace() {
    closeRaces++;
  }

  void setPrecedingResponsesNanos(long nanos) {
    precedingResponsesNanos = nanos;
  }

  String id() {
    return id;
  }

  /**
   * Returns the last write of the request, or null if no client wrote it. A request is written
   * again if it raced the close of its connection.
   */
  HistoryEvent.RequestWritten lastWrite() {
    return writes.isEmpty() ? null : writes.get(writes.size() - 1);
  }

  HistoryEvent.RequestWritten firstWrite() {
    return writes.get(0);
  }

  /** Returns the name of the request class; empty if no client wrote the request. */
  String requestClass() {
    return writes.isEmpty() ? "" : lastWrite().requestClass();
  }

  /** Returns whether each write of the request raced a close, so that no router accepted it. */
  boolean isNeverAccepted() {
    return closeRaces >= writes.size();
  }

  List<HistoryEvent.RequestCompleted> completions() {
    return completions;
  }

  /** Returns the attempts in the order in which they arrived at servers. */
  List<HistoryEvent.AttemptArrived> attempts() {
    return attempts;
  }

  /** Returns the completions in which a response arrived: values, rejections and errors. */
  List<HistoryEvent.RequestCompleted> responses() {
    return completions.stream().filter(completion -> completion.outcome().isResponse()).toList();
  }

  /** Returns when the preceding responses on the connection had arrived; 0 if unknown. */
  long precedingResponsesNanos() {
    return precedingResponsesNanos;
  }

  /** Returns when the client abandoned the request, or {@code Long.MAX_VALUE} if it did not. */
  long abandonedNanos() {
    return completions.stream()
        .filter(completion -> completion.outcome() == HistoryEvent.ClientOutcome.ABANDONED)
        .mapToLong(HistoryEvent.RequestCompleted::atNanos)
        .findFirst()
        .orElse(Long.MAX_VALUE);
  }
}
