package beaconturn.net.discovery;

import beaconturn.net.discovery.CallTiming.CallTimes;
import java.util.ArrayList;
import java.util.List;

/**
 * Determines when the next call to discovery starts, and which one it is. Without I/O and threads;
 * the owner passes the time and serializes all methods.
 *
 * <p>Discovery queues calls, so a call without a response is either slow or lost, and the router
 * cannot tell which. An overdue call therefore stays open, which keeps its place in the queue, and
 * the next call starts beside it, which replaces it if it is lost. That next call is the one that
 * would have followed the response, so overdue calls never raise the rate of calls. A call is
 * abandoned only when it has timed out and has been overtaken, or when an older one keeps a place.
 */
final class CallSchedule {
  /** The time until the next call if none will be due. */
  static final long NOT_DUE = Long.MAX_VALUE;

  private static final long NANOS_PER_MILLI = 1_000_000;

  /** What a call requests. */
  enum Kind {
    /** The changes after a version, as soon as there are any. */
    WATCH,
    /** The complete list. */
    COMPLETE_LIST
  }

  /** A call that was started; compared by identity. */
  static final class Call {
    private final Kind kind;
    private final CallTimes times;
    private final long startedAtNanos;
    private final boolean followsOverdueCall;

    /** Whether a call that started later has been answered. */
    private boolean overtaken;

    private Call(Kind kind, CallTimes times, long startedAtNanos, boolean followsOverdueCall) {
      this.kind = kind;
      this.times = times;
      this.startedAtNanos = startedAtNanos;
      this.followsOverdueCall = followsOverdueCall;
    }

    Kind kind() {
      return kind;
    }

    CallTimes times() {
      return times;
    }

    /** Whether the call was started because those before it were overdue. */
    boolean followsOverdueCall() {
      return followsOverdueCall;
    }

    private long nanosUntilOverdue(long nowNanos) {
      return startedAtNanos + times.overdueMillis() * NANOS_PER_MILLI - nowNanos;
    }
  }

  private enum NextWatch {
    FIRST,
    RESUMED,
    REGULAR
  }

  private final CallTiming timing;

  /** In the order of their starts. */
  private final List<Call> open = new ArrayList<>();

  private NextWatch nextWatch = NextWatch.FIRST;
  private boolean responded;
  private boolean watching;
  private boolean listRequested;

  /** Estimate of how long discovery queues calls. */
  private int queueMillis;

  /** Whether a call has failed and the routing policy has not requested another one since. */
  private boolean suspended;

  CallSchedule(CallTiming timing) {
    this.timing = timing;
  }

  /** Starts, resumes after a failure, or stops watching. */
  void watch(boolean on) {
    watching = on;
    suspended = false;
  }

  /** Requests one call for the complete list, due at once. */
  void requestList() {
    listRequested = true;
  }

  /** Drops the open calls, whose outcomes do not matter any more, and watches from now on. */
  void restart() {
    open.clear();
    queueMillis = 0;
    watch(true);
  }

  /** Returns the time until the next call is due, 0 if it is, or {@link #NOT_DUE}. */
  long nanosUntilDue(long nowNanos) {
    if (listRequested) {
      return 0;
    }
    if (!watching || suspended) {
      return NOT_DUE;
    }
    return nanosUntilAllOverdue(nowNanos);
  }

  /** Returns the time until every open call is overdue, 0 if there is none. */
  private long nanosUntilAllOverdue(long nowNanos) {
    long longest = 0;
    for (Call call : open) {
      longest = Math.max(longest, call.nanosUntilOverdue(nowNanos));
    }
    return longest;
  }

  /**
   * Starts the call that is due.
   *
   * @param listKnown whether there is a version from which a watch can start
   */
  Call start(long nowNanos, boolean listKnown) {
    boolean followsOverdueCall = !open.isEmpty() && !isAnyOnTime(nowNanos);
    Kind kind = listRequested || !listKnown ? Kind.COMPLETE_LIST : Kind.WATCH;
    CallTimes times = kind == Kind.WATCH ? nextWatchTimes() : timing.completeList(queueMillis);
    listRequested = false;
    Call call = new Call(kind, times, nowNanos, followsOverdueCall);
    open.add(call);
    return call;
  }

  /** Records a response; watching continues. */
  void answered(Call call, long nowNanos) {
    for (Call earlier : open.subList(0, open.indexOf(call))) {
      earlier.overtaken = true;
    }
    open.remove(call);
    updateQueueEstimate(call, nowNanos);
    responded = true;
    suspended = false;
    nextWatch = NextWatch.REGULAR;
  }

  /**
   * Records a failure. Returns whether to report it to the routing policy, which determines when
   * watching is resumed: not if another call is open and may still respond in time.
   */
  boolean failed(Call call, long nowNanos) {
    if (!open.remove(call) || suspended || isAnyOnTime(nowNanos)) {
      return false;
    }
    suspended = true;
    nextWatch = responded ? NextWatch.RESUMED : NextWatch.FIRST;
    return true;
  }

  /**
   * Whether a call that has timed out stays open all the same: the oldest one, unless discovery has
   * answered a later one, as nothing else tells a queue longer than the time-out from a lost call.
   */
  boolean outlastsTimeout(Call call) {
    return !open.isEmpty() && open.get(0).equals(call) && !call.overtaken;
  }

  /** Records that a call ended without a response or a failure of discovery. */
  void abandoned(Call call) {
    open.remove(call);
  }

  /** A call was queued for the time until its response, less at most its wait for changes. */
  private void updateQueueEstimate(Call call, long nowNanos) {
    int longest = (int) ((nowNanos - call.startedAtNanos) / NANOS_PER_MILLI);
    int shortest = Math.max(0, longest - call.times.waitMillis());
    queueMillis = Math.max(shortest, Math.min(queueMillis, longest));
  }

  private boolean isAnyOnTime(long nowNanos) {
    return nanosUntilAllOverdue(nowNanos) > 0;
  }

  private CallTimes nextWatchTimes() {
    NextWatch next = nextWatch;
    nextWatch = NextWatch.REGULAR;
    return switch (next) {
      case FIRST -> timing.firstWatch(queueMillis);
      case RESUMED -> timing.resumedWatch(queueMillis);
      case REGULAR -> timing.regularWatch(queueMillis);
    };
  }
}
