package beaconturn.decision;

import java.util.ArrayList;
import java.util.List;

/** A request that the router has taken on, until its last attempt is closed. */
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
  private boolean moving;
  private boolean done;

  /** Makes a request without attempts; see the accessors for what the parts mean. */
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

  /** Its key; 0 for none. */
  long key() {
    return arrival.key();
  }

  /** Where it is on the ring: the hash of its key, or of its id where it has none. */
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

  /** When the client gives up. */
  long deadlineNanos() {
    return times.deadlineNanos();
  }

  /** Until when an answer meets the latency objective. */
  long objectiveEndNanos() {
    return times.objectiveEndNanos();
  }

  /** Until when an answer is worth something. */
  long dueNanos() {
    return times.dueNanos();
  }

  /** What all tries of one request by its client have in common; see {@link ClientRetries}. */
  long logicalRequest() {
    return logicalRequest;
  }

  /** Whether it exceeds its tenant's quota. */
  boolean isOverQuota() {
    return overQuota;
  }

  /** The share of recent requests that were for its key; 0 for writes and without a key. */
  double keyShare() {
    return keyShare;
  }

  /** Its expected work, as a multiple of the usual. */
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

  /** The first attempt that is open or may have had its effect; null if there is none. */
  AttemptState firstWithPossibleEffect() {
    for (AttemptState attempt : attempts) {
      if (!attempt.isProvenWithoutEffect()) {
        return attempt;
      }
    }
    return null;
  }

  /** Whether it may go where it might fail: it was not sent yet, and may be repeated. */
  boolean mayJoinTrial() {
    return attempts.isEmpty() && isIdempotent();
  }

  /** The cache that holds its key once that is fetched: it lacked the key; null for none. */
  ServerState keyHolder() {
    return keyHolder;
  }

  void setKeyHolder(ServerState cache) {
    keyHolder = cache;
  }

  /** The fetch that it leads or waits for; null for none. */
  OriginFetch originFetch() {
    return originFetch;
  }

  void setOriginFetch(OriginFetch fetch) {
    originFetch = fetch;
  }

  /** Whether it waits for the origin's limit, or for another request's fetch. */
  boolean isQueued() {
    return queued;
  }

  void setQueued(boolean waits) {
    queued = waits;
  }

  /** Whether its answer has begun to go to the client. */
  boolean isStreaming() {
    return streaming;
  }

  void startStreaming() {
    streaming = true;
  }

  /** Whether its attempt is being cancelled because it is late, so that it goes elsewhere. */
  boolean isRerouting() {
    return moving;
  }

  void setRerouting(boolean moves) {
    moving = moves;
  }

  /** Whether it is answered, given up or cancelled; attempts may still be open. */
  boolean isDone() {
    return done;
  }

  void finish() {
    done = true;
  }
}
