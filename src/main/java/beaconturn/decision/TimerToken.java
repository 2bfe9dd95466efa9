package beaconturn.decision;

/**
 * Purpose of a timer, encoded in the token of its {@link RoutingEvent.TimerFired} event: the kind
 * in the low 2 bits, then 6 bits for the attempt index, then the request id.
 *
 * @param kind what the timer is for
 * @param requestId the request; 0 for timers of the router itself
 * @param attempt index of the attempt; 0 for timers of the whole request
 */
record TimerToken(TimerKind kind, long requestId, int attempt) {
  private static final int KIND_BITS = 2;
  private static final int ATTEMPT_BITS = 6;
  private static final int REQUEST_SHIFT = KIND_BITS + ATTEMPT_BITS;
  private static final long KIND_MASK = (1 << KIND_BITS) - 1;
  private static final long ATTEMPT_MASK = (1 << ATTEMPT_BITS) - 1;

  /** What a timer is for. */
  enum TimerKind {
    /** The attempt is late if it is still open. */
    ATTEMPT_LATE(0),
    /** The request has reached its maximum time in the queue. */
    QUEUE_TIMEOUT(1),
    /** The endpoint list is requested again. */
    RESUBSCRIBE(2),
    /** Not a timer of this router. */
    UNKNOWN(3);

    private final int code;

    TimerKind(int code) {
      this.code = code;
    }

    private static TimerKind of(int code) {
      return switch (code) {
        case 0 -> ATTEMPT_LATE;
        case 1 -> QUEUE_TIMEOUT;
        case 2 -> RESUBSCRIBE;
        default -> UNKNOWN;
      };
    }
  }

  static TimerToken attemptLate(long requestId, int attempt) {
    return new TimerToken(TimerKind.ATTEMPT_LATE, requestId, attempt);
  }

  static TimerToken queueTimeout(long requestId) {
    return new TimerToken(TimerKind.QUEUE_TIMEOUT, requestId, 0);
  }

  static TimerToken resubscribe() {
    return new TimerToken(TimerKind.RESUBSCRIBE, 0, 0);
  }

  long encode() {
    return requestId << REQUEST_SHIFT | (long) attempt << KIND_BITS | kind.code;
  }

  static TimerToken decode(long token) {
    return new TimerToken(
        TimerKind.of((int) (token & KIND_MASK)),
        token >>> REQUEST_SHIFT,
        (int) (token >>> KIND_BITS & ATTEMPT_MASK));
  }
}
