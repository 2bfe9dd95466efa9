package beaconturn.decision;

/** Why a request is given up. */
public enum GiveUpReason {
  /** Its key has failed at several caches; see {@link KeyFailures}. */
  FAILING_KEY,
  /** An answer could not come in time to be worth anything. */
  TOO_LATE,
  /** Caches, or the origin, are at their limit; see {@link AdmissionController}. */
  OVERLOADED,
  /** It was queued as long as it may be; see {@link OriginFetches}. */
  QUEUE_TIMEOUT,
  /** No server may get it; see {@link ServerSelector}. */
  NO_SERVER,
  /** A further attempt is not allowed to it; see {@link AttemptGuard}. */
  NO_FURTHER_ATTEMPT,
  /**
   * A further attempt would cost others more than it is likely to help; see {@link RetryPolicy}.
   */
  RETRY_NOT_EARNED
}
