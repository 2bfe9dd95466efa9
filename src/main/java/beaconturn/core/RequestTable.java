package beaconturn.core;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/**
 * The requests that are not over yet: unanswered, or with an attempt still out. Routing thread
 * only.
 */
final class RequestTable {
  private final Map<Long, RequestEntry> entriesById = new HashMap<>();
  private final Map<ClientRequest, RequestEntry> unanswered = new IdentityHashMap<>();
  private long lastId;

  /** One request and its attempts, in the order of their sending. */
  static final class RequestEntry {
    private final long id;
    private final ClientRequest request;
    private final HostedPolicy policy;
    private final List<OutboundAttempt> attempts = new ArrayList<>(2);
    private TimerQueue.Timer overdue;
    private boolean closed;
    private OutboundAttempt streamingAttempt;
    private int attemptsOut;

    private RequestEntry(long id, ClientRequest request, HostedPolicy policy) {
      this.id = id;
      this.request = request;
      this.policy = policy;
    }

    /** The policy that decides on it to its end. */
    HostedPolicy policy() {
      return policy;
    }

    long id() {
      return id;
    }

    ClientRequest request() {
      return request;
    }

    /** All its attempts so far, over or not. */
    List<OutboundAttempt> attempts() {
      return attempts;
    }

    /** By how much time after its sending an attempt's answer is late. */
    long latencyObjectiveNanos() {
      int classIndex = request.description().classIndex();
      return policy.settings().classes().get(classIndex).latencyObjectiveNanos();
    }

    /** The attempt whose answer is being streamed to the client, or null. */
    OutboundAttempt streamingAttempt() {
      return streamingAttempt;
    }

    /** The attempt's answer is streamed from here on, however long that takes. */
    void streamingStarted(OutboundAttempt attempt) {
      streamingAttempt = attempt;
      overdue.cancel();
    }

    /** Whether it has its answer, or nobody waits for one. */
    boolean isClosed() {
      return closed;
    }
  }

  /** Adds a request; {@code timer} makes the one that ends it if nothing else does. */
  RequestEntry add(
      ClientRequest request, HostedPolicy policy, Function<RequestEntry, TimerQueue.Timer> timer) {
    RequestEntry entry = new RequestEntry(++lastId, request, policy);
    entry.overdue = timer.apply(entry);
    entriesById.put(entry.id, entry);
    unanswered.put(request, entry);
    return entry;
  }

  /** The request of that number, or null once it is over. */
  RequestEntry get(long id) {
    return entriesById.get(id);
  }

  /** The entry of a request that still waits, or null. */
  RequestEntry of(ClientRequest request) {
    return unanswered.get(request);
  }

  /** How many requests have no answer yet. */
  int openCount() {
    return unanswered.size();
  }

  /** The requests that have no answer yet, as of now. */
  List<RequestEntry> open() {
    return List.copyOf(unanswered.values());
  }

  /** Begins the request's next attempt, which may be out for so long. */
  OutboundAttempt addAttempt(RequestEntry entry, long serverId, long nowNanos, long allowedNanos) {
    OutboundAttempt attempt =
        new OutboundAttempt(
            entry.id, entry.attempts.size(), serverId, entry.request, nowNanos, allowedNanos);
    entry.attempts.add(attempt);
    entry.attemptsOut++;
    return attempt;
  }

  /** Notes that the request has its answer, or that nobody waits for one. */
  void close(RequestEntry entry) {
    entry.closed = true;
    entry.overdue.cancel();
    unanswered.remove(entry.request);
    forgetIfOver(entry);
  }

  /** Notes that one of the request's attempts has ended. */
  void attemptEnded(RequestEntry entry) {
    entry.attemptsOut--;
    forgetIfOver(entry);
  }

  private void forgetIfOver(RequestEntry entry) {
    if (entry.closed && entry.attemptsOut == 0) {
      entriesById.remove(entry.id);
    }
  }
}
