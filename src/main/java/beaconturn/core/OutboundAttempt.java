package beaconturn.core;

import beaconturn.decision.AttemptOutcome;

/** One sending of a request to a cache server. */
public final class OutboundAttempt {
  private final long request;
  private final int number;
  private final long server;
  private final ClientRequest call;
  private final long sentAt;
  private final long allowFor;
  private volatile boolean over;
  private AttemptOutcome ending;
  private TimerQueue.Timer timeOut;

  /**
   * The attempt of that number of a request; it may be out for {@code allowFor} from {@code sentAt}
   * on.
   */
  public OutboundAttempt(
      long request, int number, long server, ClientRequest call, long sentAt, long allowFor) {
    this.request = request;
    this.number = number;
    this.server = server;
    this.call = call;
    this.sentAt = sentAt;
    this.allowFor = allowFor;
  }

  /** The request that is sent. */
  public ClientRequest call() {
    return call;
  }

  /** The cache server, by the number that the module knows it by. */
  public long server() {
    return server;
  }

  /** When the router stops waiting for this attempt. */
  public long until() {
    return sentAt + allowFor;
  }

  /** Says what ends the attempt if nothing else does; it is called off at the end. */
  void timeOut(TimerQueue.Timer timer) {
    timeOut = timer;
  }

  /** Its answer has begun: no time limit for answers that do not come holds any more. */
  void begun() {
    timeOut.cancel();
  }

  long request() {
    return request;
  }

  int number() {
    return number;
  }

  long sentAt() {
    return sentAt;
  }

  /** How it ended, or null if it has not. For the module's thread. */
  AttemptOutcome ending() {
    return ending;
  }

  /** Notes the attempt's end; false if it had ended before. For the module's thread. */
  public boolean end(AttemptOutcome how) {
    boolean first = !over;
    ending = first ? how : ending;
    over = true;
    if (timeOut != null) {
      timeOut.cancel();
    }
    return first;
  }

  /** Whether it is still to be written: it is not over, its time is not up and its client waits. */
  public boolean wanted(long now) {
    return !over && now < until() && call.waits();
  }

  /** Whether it has ended or was given up; what is over is not written any more. */
  public boolean over() {
    return over;
  }
}
