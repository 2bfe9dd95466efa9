package beaconturn.core;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/**
 * The open requests: those without a response, and those with an attempt still in flight. Confined
 * to the routing thread.
 */
final class RequestTable {
  private final Map<Long, RequestEntry> entriesById = new HashMap<>();
  private final Map<ClientRequest, RequestEntry> awaitingResponse = new IdentityHashMap<>();
  private long lastId;

  /** One request and its attempts, in the order in which they were sent. */
  static final class RequestEntry {
    private final long id;
    private final ClientRequest request;
    private final HostedPolicy policy;
    private final List<OutboundAttempt> attempts = new ArrayList<>(2);
    private TimerQueue.Timer deadlineTimer;
    private boolean closed;
    private OutboundAttempt streamingAttempt;
    private int attemptsInFlight;

    private RequestEntry(long id, ClientRequest request, HostedPolicy policy) {
      this.id = id;
      this.request = request;
      this.policy = policy;
    }

    /** The policy that handles the request until it is done. */
    HostedPolicy policy() {
      return policy;
    }

    long id() {
      return id;
    }

    ClientRequest request() {
      return request;
    }

    /** All attempts so far, including those that have ended. */
    List<OutboundAttempt> attempts() {
      return attempts;
    }

    /** The latency objective of the request's class. */
    long latencyObjectiveNanos() {
      int classIndex = request.description().classIndex();
      return policy.settings().classes().get(classIndex).latencyObjectiveNanos();
    }

    /** The attempt whose response is being streamed to the client, or null. */
    OutboundAttempt streamingAttempt() {
      return streamingAttempt;
    }

    /** Records the attempt whose response is streamed, and cancels the request's deadline timer. */
    void streamingStarted(OutboundAttempt attempt) {
      streamingAttempt = attempt;
      deadlineTimer.cancel();
    }

    /** Whether the request has its response or was cancelled. */
    boolean isClosed() {
      return closed;
    }
  }

  /** Adds a request; {@code timer} starts the timer that fails it at its deadline. */
  RequestEntry add(
      ClientRequest request, HostedPolicy policy, Function<RequestEntry, TimerQueue.Timer> timer) {
    RequestEntry entry = new RequestEntry(++lastId, request, policy);
    entry.deadlineTimer = timer.apply(entry);
    entriesById.put(entry.id, entry);
    awaitingResponse.put(request, entry);
    return entry;
  }

  /** The entry with that id, or null if the request is done. */
  RequestEntry get(long id) {
    return entriesById.get(id);
  }

  /** The entry of a request that has no response yet, or null. */
  RequestEntry of(ClientRequest request) {
    return awaitingResponse.get(request);
  }

  /** The number of requests that have no response yet. */
  int openCount() {
    return awaitingResponse.size();
  }

  /** A snapshot of the requests that have no response yet. */
  List<RequestEntry> open() {
    return List.copyOf(awaitingResponse.values());
  }

  /** Adds the request's next attempt, which may be in flight for {@code allowedNanos}. */
  OutboundAttempt addAttempt(RequestEntry entry, long serverId, long nowNanos, long allowedNanos) {
    OutboundAttempt attempt =
        new OutboundAttempt(
            entry.id, entry.attempts.size(), serverId, entry.request, nowNanos, allowedNanos);
    entry.attempts.add(attempt);
    entry.attemptsInFlight++;
    return attempt;
  }

  /** Marks the request as responded to or cancelled. */
  void close(RequestEntry entry) {
    entry.closed = true;
    entry.deadlineTimer.cancel();
    awaitingResponse.remove(entry.request);
    removeIfDone(entry);
  }

  /** Records that one of the request's attempts has ended. */
  void attemptEnded(RequestEntry entry) {
    entry.attemptsInFlight--;
    removeIfDone(entry);
  }

  private void removeIfDone(RequestEntry entry) {
    if (entry.closed && entry.attemptsInFlight == 0) {
      entriesById.remove(entry.id);
    }
  }
}
