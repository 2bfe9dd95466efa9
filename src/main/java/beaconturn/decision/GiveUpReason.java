package beaconturn.decision;

/** Why a request is given up. */
public enum GiveUpReason {
  /** The key has failed at several caches; see {@link KeyFailures}. */
  FAILING_KEY,
  /** A response can no longer arrive in time to be of use. */
  TOO_LATE,
  /** The caches or the origin are at their limit; see {@link AdmissionController}. */
  OVERLOADED,
  /** The request reached its maximum time in the queue; see {@link OriginFetches}. */
  QUEUE_TIMEOUT,
  /** No server is eligible; see {@link ServerSelector}. */
  NO_SERVER,
  /** Another attempt is not permitted; see {@link AttemptGuard}. */
  NO_FURTHER_ATTEMPT,
  /**
   * Another attempt would cost other requests more than it is likely to help; see {@link
   * RetryPolicy}.
   */
  RETRY_NOT_EARNED
}
