package beaconturn.decision;

import java.util.ArrayList;
import java.util.List;

/** State of a request, from its arrival until its last attempt is closed. */
final class RequestState {
  private final RoutingEvent.RequestArrived arrival;
  private final RequestClass requestClass;
  private final long hash;
  private final RequestTimes times;
  private final long logicalRequest;
  private final boolean overQuota;
  private final double keyShare;
  private final double workRatio;
  private final List<AttemptState> attempts = new ArrayList<>(2);
  private ServerState keyHolder;
  private OriginFetch originFetch;
  private boolean queued;
  private boolean streaming;
  private boolean rerouting;
  private boolean done;

  /** Creates a request without attempts; the accessors describe the parameters. */
  RequestState(
      RoutingEvent.RequestArrived arrival,
      RequestClass requestClass,
      RequestTimes times,
      long logicalRequest,
      boolean overQuota,
      double keyShare,
      double workRatio) {
    this.arrival = arrival;
    this.requestClass = requestClass;
    this.hash = KeyHash.mix(arrival.key() != 0 ? arrival.key() : arrival.requestId());
    this.times = times;
    this.logicalRequest = logicalRequest;
    this.overQuota = overQuota;
    this.keyShare = keyShare;
    this.workRatio = workRatio;
  }

  long id() {
    return arrival.requestId();
  }

  /** Returns the key; 0 for none. */
  long key() {
    return arrival.key();
  }

  /** Returns the position on the ring: the hash of the key, or of the request id without a key. */
  long hash() {
    return hash;
  }

  boolean isWrite() {
    return arrival.write();
  }

  RequestClass requestClass() {
    return requestClass;
  }

  int classIndex() {
    return arrival.requestClass();
  }

  boolean isIdempotent() {
    return requestClass.idempotency() == Idempotency.IDEMPOTENT;
  }

  /** Returns when the client stops waiting. */
  long deadlineNanos() {
    return times.deadlineNanos();
  }

  /** Returns the time until which a response meets the latency objective. */
  long objectiveEndNanos() {
    return times.objectiveEndNanos();
  }

  /** Returns the time until which a response is of use. */
  long dueNanos() {
    return times.dueNanos();
  }

  /** Returns the id that all retries of a client share; see {@link ClientRetries}. */
  long logicalRequest() {
    return logicalRequest;
  }

  /** Whether the request exceeds its tenant's quota. */
  boolean isOverQuota() {
    return overQuota;
  }

  /** Returns the key's share of recent requests; 0 for writes and without a key. */
  double keyShare() {
    return keyShare;
  }

  /** Returns the expected work as a multiple of the mean. */
  double workRatio() {
    return workRatio;
  }

  List<AttemptState> attempts() {
    return attempts;
  }

  int openAttempts() {
    int count = 0;
    for (AttemptState attempt : attempts) {
      if (attempt.isOpen()) {
        count++;
      }
    }
    return count;
  }

  boolean hasOpenAttempt() {
    return openAttempts() > 0;
  }

  boolean wasSentTo(ServerState server) {
    for (AttemptState attempt : attempts) {
      if (attempt.server() == server) {
        return true;
      }
    }
    return false;
  }

  /** Returns the first attempt that is open or may have had its effect; null if there is none. */
  AttemptState firstWithPossibleEffect() {
    for (AttemptState attempt : attempts) {
      if (!attempt.isProvenWithoutEffect()) {
        return attempt;
      }
    }
    return null;
  }

  /** Whether the request may be sent to a trial zone: it is idempotent and has had no attempt. */
  boolean mayJoinTrial() {
    return attempts.isEmpty() && isIdempotent();
  }

  /** Returns the cache that holds the key once it is fetched; null if none is known. */
  ServerState keyHolder() {
    return keyHolder;
  }

  void setKeyHolder(ServerState cache) {
    keyHolder = cache;
  }

  /** Returns the fetch that the request leads or waits for; null for none. */
  OriginFetch originFetch() {
    return originFetch;
  }

  void setOriginFetch(OriginFetch fetch) {
    originFetch = fetch;
  }

  /** Whether the request waits for the origin's limit or for another request's fetch. */
  boolean isQueued() {
    return queued;
  }

  void setQueued(boolean queued) {
    this.queued = queued;
  }

  /** Whether the response has started to be sent to the client. */
  boolean isStreaming() {
    return streaming;
  }

  void startStreaming() {
    streaming = true;
  }

  /** Whether the late attempt is being cancelled so that the request can go to another cache. */
  boolean isRerouting() {
    return rerouting;
  }

  void setRerouting(boolean rerouting) {
    this.rerouting = rerouting;
  }

  /** Whether the request is completed, given up or cancelled; attempts may still be open. */
  boolean isDone() {
    return done;
  }

  void finish() {
    done = true;
  }
}
