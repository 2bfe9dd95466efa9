package beaconturn.agreement;

/** The versions as they were last read, and when they are to be read again. For one thread. */
final class SnapshotTracker {
  private final AgreementKeys keys;
  private final AgreementTiming timing;
  private final Jitter jitter;

  /** As last read, or null before the first time. */
  private AgreementSnapshot snapshot;

  private boolean outdated = true;
  private long pollAtNanos;

  SnapshotTracker(AgreementKeys keys, AgreementTiming timing, Jitter jitter, long nowNanos) {
    this.keys = keys;
    this.timing = timing;
    this.jitter = jitter;
    this.pollAtNanos = nowNanos;
  }

  AgreementSnapshot snapshot() {
    return snapshot;
  }

  boolean hasSnapshot() {
    return snapshot != null;
  }

  /** Something has changed: the versions are to be read again. */
  void invalidate() {
    outdated = true;
  }

  /** The request that reads the versions, or null while none is due. */
  PendingRequest dueRequest(long nowNanos) {
    if (!outdated && (nowNanos < pollAtNanos || !isPolled())) {
      return null;
    }
    return new PendingRequest(
        RequestPurpose.READ_COMMON, new StoreRequest.Read(keys.commonPrefix()));
  }

  /** When it is read again without having been invalidated; far away where it is not. */
  long pollAtNanos() {
    return snapshot == null || isPolled() ? pollAtNanos : Long.MAX_VALUE;
  }

  /**
   * Whether the versions are read again and again: while a step is open, or nothing was begun, only
   * reading shows what others change.
   */
  private boolean isPolled() {
    return snapshot.hasOpenStep() || snapshot.agreementId().isEmpty();
  }

  void handleRead(AgreementSnapshot read, long sentAtNanos) {
    outdated = false;
    pollAtNanos = sentAtNanos + jitter.spreadNanos(timing.renewIntervalNanos());
    snapshot = read;
  }
}
