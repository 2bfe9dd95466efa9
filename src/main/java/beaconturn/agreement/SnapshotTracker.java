package beaconturn.agreement;

/** Holds the snapshot that was read last and schedules the next read. Not thread-safe. */
final class SnapshotTracker {
  private final AgreementKeys keys;
  private final AgreementTiming timing;
  private final Jitter jitter;

  /** The snapshot that was read last, or null before the first read. */
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

  /** Schedules a new read, as the snapshot may be outdated. */
  void invalidate() {
    outdated = true;
  }

  /** Returns the request that reads the snapshot, or null while none is due. */
  PendingRequest dueRequest(long nowNanos) {
    if (!outdated && (nowNanos < pollAtNanos || !isPolled())) {
      return null;
    }
    return new PendingRequest(
        RequestPurpose.READ_COMMON, new StoreRequest.Read(keys.commonPrefix()));
  }

  /** Time of the next poll, or {@link Long#MAX_VALUE} if the snapshot is not polled. */
  long pollAtNanos() {
    return snapshot == null || isPolled() ? pollAtNanos : Long.MAX_VALUE;
  }

  /**
   * Whether the snapshot is read periodically: while a step is open or no agreement exists, a read
   * is the only way to learn of changes made by others.
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
