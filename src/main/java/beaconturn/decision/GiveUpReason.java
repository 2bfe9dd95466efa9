package beaconturn.decision;

/** Why a request is given up. */
public enum GiveUpReason {
  /** Its key has failed at several cache servers. */
  FAILING_KEY,
  /** An answer could not come in time to be worth anything. */
  TOO_LATE,
  /** Cache servers, or the origin, have all the work that they can do. */
  OVERLOADED,
  /** It has waited for room as long as it may. */
  QUEUE_TIMEOUT,
  /** No cache server may get it. */
  NO_SERVER,
  /** A further attempt is not allowed to it. */
  NO_FURTHER_ATTEMPT,
  /** A further attempt would cost others more than it is likely to help. */
  RETRY_NOT_EARNED
}
