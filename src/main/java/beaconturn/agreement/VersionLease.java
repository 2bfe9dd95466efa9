package beaconturn.agreement;

import java.util.List;

/**
 * The lease under which a member acts on the version in force. Each confirmation that the versions
 * in the store are unchanged extends it. Confined to the member's thread.
 */
final class VersionLease {
  private static final long NOT_HELD = Long.MIN_VALUE;

  private final AgreementKeys keys;
  private final AgreementTiming timing;
  private final Jitter jitter;
  private long endNanos = NOT_HELD;
  private long confirmAtNanos;
  private int consecutiveRefutations;

  VersionLease(AgreementKeys keys, AgreementTiming timing, Jitter jitter) {
    this.keys = keys;
    this.timing = timing;
    this.jitter = jitter;
  }

  /** When the lease expires, by the member's clock; {@link Long#MIN_VALUE} if none is held. */
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
   * Returns the request that confirms the snapshot, or null while none is due. It is a transaction
   * without changes, which the store decides by quorum even if one of its members serves stale
   * reads.
   */
  PendingRequest dueRequest(long nowNanos, AgreementSnapshot snapshot) {
    if (nowNanos < confirmAtNanos) {
      return null;
    }
    StoreRequest confirmation =
        new StoreRequest.Transaction(snapshot.versionsUnchanged(keys), List.of());
    return new PendingRequest(RequestPurpose.CONFIRM_VERSIONS, confirmation);
  }

  /** Extends the lease, starting when the earlier of confirmation and keep-alive was sent. */
  void handleConfirmed(long sentAtNanos, long keptAliveAtNanos) {
    consecutiveRefutations = 0;
    endNanos = Math.min(sentAtNanos, keptAliveAtNanos) + timing.leaseNanos();
    confirmAtNanos = sentAtNanos + jitter.spreadNanos(timing.renewIntervalNanos());
  }

  /**
   * Counts a confirmation whose conditions did not hold. Returns false from the second consecutive
   * such confirmation on: the reads are then served by a lagging member of the store.
   */
  boolean handleRefuted() {
    consecutiveRefutations++;
    return consecutiveRefutations <= 1;
  }
}
