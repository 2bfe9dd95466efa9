package beaconturn.agreement;

import java.util.List;

/**
 * The lease under which a member acts on the version in force: each confirmation that the store's
 * versions are unchanged extends it. For the member's thread.
 */
final class VersionLease {
  private static final long NOT_HELD = Long.MIN_VALUE;

  private final AgreementKeys keys;
  private final AgreementTiming timing;
  private final Jitter jitter;
  private long endNanos = NOT_HELD;
  private long confirmAtNanos;
  private int refutedInSequence;

  VersionLease(AgreementKeys keys, AgreementTiming timing, Jitter jitter) {
    this.keys = keys;
    this.timing = timing;
    this.jitter = jitter;
  }

  /** When the lease ends, by the member's clock; long past where none is held. */
  long endNanos() {
    return endNanos;
  }

  long confirmAtNanos() {
    return confirmAtNanos;
  }

  void confirmAt(long nanos) {
    confirmAtNanos = nanos;
  }

  void drop() {
    endNanos = NOT_HELD;
  }

  /**
   * The confirmation that what was read is still so, or null while none is due. It is a transaction
   * without changes: a store decides that by a quorum, whatever its members answer to reads.
   */
  PendingRequest dueRequest(long nowNanos, AgreementSnapshot snapshot) {
    if (nowNanos < confirmAtNanos) {
      return null;
    }
    StoreRequest confirmation =
        new StoreRequest.Transaction(snapshot.versionsUnchanged(keys), List.of());
    return new PendingRequest(RequestPurpose.CONFIRM_VERSIONS, confirmation);
  }

  /** Extends the lease, from when the earlier of the two requests was sent that it rests on. */
  void handleConfirmed(long sentAtNanos, long keptAliveAtNanos) {
    refutedInSequence = 0;
    endNanos = Math.min(sentAtNanos, keptAliveAtNanos) + timing.leaseNanos();
    confirmAtNanos = sentAtNanos + jitter.spreadNanos(timing.renewIntervalNanos());
  }

  /**
   * What was read is no longer so. False once that has come twice in a row: the store then answers
   * reads from a member that lags.
   */
  boolean handleRefuted() {
    refutedInSequence++;
    return refutedInSequence <= 1;
  }
}
