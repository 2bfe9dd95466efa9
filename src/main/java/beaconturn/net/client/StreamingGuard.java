package beaconturn.net.client;

import beaconturn.core.Clock;
import beaconturn.net.io.BoundedPipe;

/**
 * Decides when the first bytes of a streamed response may be written. Once they are, a response
 * that breaks off can only be marked as incomplete by the close of the connection, which leaves the
 * commands behind it without a response. Therefore
 *
 * <ul>
 *   <li>a response with no command behind it starts at once, and no further command is read until
 *       it is complete;
 *   <li>a response with commands behind it is collected first. If it breaks off, it fails like any
 *       other, and the commands behind it have their responses.
 * </ul>
 *
 * <p>Collecting ends without a complete response after a part of the time that the client waits,
 * and does not begin if there is no memory for some time: the first bytes must not be late, and a
 * client prefers a response that may break off to none.
 *
 * <p>Guarded by the {@link ClientWriter} that owns it.
 */
final class StreamingGuard {
  private static final long NEVER = Long.MAX_VALUE;

  /** A response is held back for at most this part of the time until its deadline. */
  private static final int HOLD_DIVISOR = 2;

  private static final long MAX_HOLD_NANOS = 1_000_000_000;

  private static final long MAX_MEMORY_WAIT_NANOS = 100_000_000;

  /** Also for a request whose deadline passed while it waited for the responses before it. */
  private static final long MIN_HOLD_NANOS = 100_000_000;

  private final Clock clock;
  private final ReadSuspension reading;

  /** When the response that is held back starts at the latest, or {@link #NEVER} for none. */
  private long startsAtNanos = NEVER;

  private long memoryWaitEndsAtNanos;
  private boolean collecting;
  private boolean suspendsReading;

  StreamingGuard(Clock clock, ReadSuspension reading) {
    this.clock = clock;
    this.reading = reading;
  }

  /**
   * Whether the response, which is the next to be written, may start. If not, this is to be called
   * again when the response or the poller's reading has ended, when memory is released, and
   * periodically while {@link #holdsResponse}.
   *
   * @param commandsBehind whether commands behind it have been read
   */
  boolean mayStart(ResponseSlot slot, boolean commandsBehind) {
    BoundedPipe stream = slot.stream();
    if (stream == null || stream.isStarted()) {
      return true;
    }
    if (stream.hasEnded()) {
      endHold(slot);
      return true;
    }
    if (!commandsBehind && !collecting) {
      ReadSuspension.Result result = reading.trySuspend();
      suspendsReading = result == ReadSuspension.Result.SUSPENDED;
      if (result != ReadSuspension.Result.COMMANDS_WAITING) {
        return suspendsReading;
      }
    }
    return mayStartBeforeComplete(slot, stream);
  }

  private boolean mayStartBeforeComplete(ResponseSlot slot, BoundedPipe stream) {
    long nowNanos = clock.now();
    if (!holdsResponse()) {
      beginHold(slot, nowNanos);
    }
    if (!collecting && slot.reserveCollected(stream.responseBytes())) {
      collecting = true;
      stream.collect();
    }
    if (nowNanos < (collecting ? startsAtNanos : memoryWaitEndsAtNanos)) {
      return false;
    }
    endHold(slot);
    stream.stopCollecting();
    return true;
  }

  private void beginHold(ResponseSlot slot, long nowNanos) {
    long untilDeadlineNanos = slot.deadlineNanos() - nowNanos;
    long holdNanos = Math.min(MAX_HOLD_NANOS, untilDeadlineNanos / HOLD_DIVISOR);
    startsAtNanos = nowNanos + Math.max(MIN_HOLD_NANOS, holdNanos);
    memoryWaitEndsAtNanos = nowNanos + MAX_MEMORY_WAIT_NANOS;
  }

  private void endHold(ResponseSlot slot) {
    if (holdsResponse() && !collecting) {
      slot.stopWaitingForMemory();
    }
    startsAtNanos = NEVER;
    collecting = false;
  }

  /** Whether a response is held back. */
  boolean holdsResponse() {
    return startsAtNanos != NEVER;
  }

  /** Reports that the response that was allowed to start is complete. */
  void responseCompleted() {
    if (suspendsReading) {
      suspendsReading = false;
      reading.resume();
    }
  }
}
