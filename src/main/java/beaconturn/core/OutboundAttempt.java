package beaconturn.core;

import beaconturn.decision.AttemptOutcome;

/**
 * One sending of a request to a cache server. The routing thread ends it; the threads that write to
 * cache servers ask whether it is still wanted.
 */
public final class OutboundAttempt {
  private final long requestId;
  private final int number;
  private final long serverId;
  private final ClientRequest request;
  private final long sentAtNanos;
  private final long allowedNanos;

  /** Written by the routing thread, read by any. */
  private volatile boolean over;

  // Routing thread only.
  private AttemptOutcome outcome;
  private TimerQueue.Timer timeout;

  /**
   * An attempt that begins.
   *
   * @param requestId the request, by the number that the policy knows it by
   * @param number how many attempts of the request came before it
   * @param serverId the cache server, by the number that the policy knows it by
   * @param request the request
   * @param sentAtNanos when it begins, by the router's clock
   * @param allowedNanos how long it may be out
   */
  public OutboundAttempt(
      long requestId,
      int number,
      long serverId,
      ClientRequest request,
      long sentAtNanos,
      long allowedNanos) {
    this.requestId = requestId;
    this.number = number;
    this.serverId = serverId;
    this.request = request;
    this.sentAtNanos = sentAtNanos;
    this.allowedNanos = allowedNanos;
  }

  /** The request that is sent. For any thread. */
  public ClientRequest request() {
    return request;
  }

  /** The cache server, by the number that the policy knows it by. For any thread. */
  public long serverId() {
    return serverId;
  }

  /** When the router stops waiting for this attempt. For any thread. */
  public long timesOutAtNanos() {
    return sentAtNanos + allowedNanos;
  }

  long requestId() {
    return requestId;
  }

  int number() {
    return number;
  }

  long sentAtNanos() {
    return sentAtNanos;
  }

  /** Sets the timer that ends the attempt if nothing else does; it is cancelled at the end. */
  void timeout(TimerQueue.Timer timer) {
    timeout = timer;
  }

  /** Its answer has begun: no time limit for answers that do not come holds any more. */
  void responseStarted() {
    timeout.cancel();
  }

  /** How it ended, or null if it has not. */
  AttemptOutcome outcome() {
    return outcome;
  }

  /** Notes the attempt's end; false if it had ended before. Routing thread only. */
  public boolean end(AttemptOutcome how) {
    boolean first = !over;
    if (first) {
      outcome = how;
    }
    over = true;
    if (timeout != null) {
      timeout.cancel();
    }
    return first;
  }

  /**
   * Whether it is still to be written: it is not over, its time is not up and its client waits. For
   * any thread.
   */
  public boolean mayBeWritten(long nowNanos) {
    return !over && nowNanos < timesOutAtNanos() && request.isAwaited();
  }

  /** Whether it has ended or was cancelled; what is over is not written any more. Any thread. */
  public boolean hasEnded() {
    return over;
  }
}
