package beaconturn.history;

import java.util.ArrayList;
import java.util.List;

/** All that a history has of one request: how it was written, its attempts and its responses. */
final class RequestRecord {
  private final String id;
  private final List<HistoryEvent.RequestWritten> writes = new ArrayList<>();
  private final List<HistoryEvent.RequestCompleted> responses = new ArrayList<>();
  private final List<HistoryEvent.AttemptArrived> attempts = new ArrayList<>();
  private int crossedCloses;

  /** 0 where none is known. */
  private long precedingAnswersNanos;

  RequestRecord(String id) {
    this.id = id;
  }

  void add(HistoryEvent.RequestWritten write) {
    writes.add(write);
  }

  void add(HistoryEvent.RequestCompleted response) {
    responses.add(response);
  }

  void add(HistoryEvent.AttemptArrived attempt) {
    attempts.add(attempt);
  }

  void addCrossedClose() {
    crossedCloses++;
  }

  void setPrecedingAnswersNanos(long nanos) {
    precedingAnswersNanos = nanos;
  }

  String id() {
    return id;
  }

  /**
   * The request as it was written last, or null if no client wrote it; one that crossed the close
   * of a connection is written again.
   */
  HistoryEvent.RequestWritten lastWrite() {
    return writes.isEmpty() ? null : writes.get(writes.size() - 1);
  }

  /** The request as it was written first. */
  HistoryEvent.RequestWritten firstWrite() {
    return writes.get(0);
  }

  /** Name of its class; empty if no client wrote it. */
  String requestClass() {
    return writes.isEmpty() ? "" : lastWrite().requestClass();
  }

  /** Whether no router took it: each time that it was written it crossed a close. */
  boolean isUntaken() {
    return crossedCloses >= writes.size();
  }

  List<HistoryEvent.RequestCompleted> responses() {
    return responses;
  }

  /** Attempts in the order in which they arrived at servers. */
  List<HistoryEvent.AttemptArrived> attempts() {
    return attempts;
  }

  /** Responses that are answers: values, rejections and errors. */
  List<HistoryEvent.RequestCompleted> answers() {
    return responses.stream().filter(response -> response.outcome().isAnswer()).toList();
  }

  /**
   * When the answers that precede its own on its connection had arrived; 0 where that is not known.
   */
  long precedingAnswersNanos() {
    return precedingAnswersNanos;
  }

  /** When its client abandoned it, or {@code Long.MAX_VALUE} if it did not. */
  long abandonedNanos() {
    return responses.stream()
        .filter(response -> response.outcome() == HistoryEvent.ClientOutcome.ABANDONED)
        .mapToLong(HistoryEvent.RequestCompleted::atNanos)
        .findFirst()
        .orElse(Long.MAX_VALUE);
  }
}
