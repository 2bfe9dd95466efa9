package beaconturn.core;

import beaconturn.decision.AttemptOutcome;

/**
 * One attempt to serve a request at a cache server. The routing thread ends it; the threads that
 * write to cache servers check whether it may still be written.
 */
public final class OutboundAttempt {
  private final long requestId;
  private final int number;
  private final long serverId;
  private final ClientRequest request;
  private final long sentAtNanos;
  private final long allowedNanos;

  /** Written by the routing thread, read by any thread. */
  private volatile boolean ended;

  /** Set before the result is posted, run by the routing thread. */
  private volatile Runnable onResultHandled;

  // Confined to the routing thread.
  private AttemptOutcome outcome;
  private TimerQueue.Timer timeoutTimer;

  /**
   * Creates an attempt.
   *
   * @param requestId the request's id in the policy
   * @param number the attempt's number within the request, from 0
   * @param serverId the cache server's id in the policy
   * @param request the request
   * @param sentAtNanos when the attempt starts, by the router's clock
   * @param allowedNanos how long the attempt may be in flight
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

  /** The request that is sent. Any thread. */
  public ClientRequest request() {
    return request;
  }

  /** The cache server's id in the policy. Any thread. */
  public long serverId() {
    return serverId;
  }

  /** When the attempt times out, by the router's clock. Any thread. */
  public long timesOutAtNanos() {
    return sentAtNanos + allowedNanos;
  }

  /**
   * Sets an action that runs once the routing thread has handled the result of this attempt, as the
   * result takes memory until then. For the thread that posts the result, before it does.
   */
  public void onResultHandled(Runnable action) {
    onResultHandled = action;
  }

  /** Reports that the result of this attempt has been handled. Routing thread only. */
  void resultHandled() {
    Runnable action = onResultHandled;
    onResultHandled = null;
    if (action != null) {
      action.run();
    }
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

  /** Sets the timer of the attempt's timeout, which is cancelled when the attempt ends. */
  void setTimeoutTimer(TimerQueue.Timer timer) {
    timeoutTimer = timer;
  }

  /** Cancels the timeout, which does not apply to a response that is being received. */
  void responseStarted() {
    timeoutTimer.cancel();
  }

  /** The outcome, or null while the attempt is in flight. */
  AttemptOutcome outcome() {
    return outcome;
  }

  /** Ends the attempt; false if it had already ended. Routing thread only. */
  public boolean end(AttemptOutcome finalOutcome) {
    boolean first = !ended;
    if (first) {
      outcome = finalOutcome;
    }
    ended = true;
    if (timeoutTimer != null) {
      timeoutTimer.cancel();
    }
    return first;
  }

  /**
   * Whether the attempt may still be written: it has not ended or timed out, and its client is
   * waiting. Any thread.
   */
  public boolean mayBeWritten(long nowNanos) {
    return !ended && nowNanos < timesOutAtNanos() && request.isAwaited();
  }

  /** Whether the attempt has an outcome; an ended attempt must not be written. Any thread. */
  public boolean hasEnded() {
    return ended;
  }
}
