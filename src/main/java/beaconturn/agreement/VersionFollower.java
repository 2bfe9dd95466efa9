package beaconturn.agreement;

import java.util.function.Consumer;

/**
 * Follows the version in force, has proposed ones voted on, and persists both. For the member's
 * thread.
 */
final class VersionFollower {
  private final MemberIdentity identity;
  private final ConfigContent localContent;
  private final VersionVoter voter;
  private final AgreementCallbacks callbacks;
  private final Consumer<String> log;
  private PersistedConfig persisted;

  /**
   * What may be acted on: only what this member's record stands for, or what was persisted by the
   * process before it, whose record still stands. Null: nothing, others may have moved on without
   * this member's ack.
   */
  private PersistedConfig basis;

  /** Whether the record in the store lacks something that was decided here. */
  private boolean recordOutdated;

  VersionFollower(
      MemberIdentity identity,
      ConfigContent localContent,
      PersistedConfig persisted,
      AgreementCallbacks callbacks,
      Consumer<String> log) {
    this.identity = identity;
    this.localContent = localContent;
    this.voter = new VersionVoter(localContent, callbacks, log);
    this.persisted = persisted;
    this.callbacks = callbacks;
    this.log = log;
  }

  PersistedConfig persisted() {
    return persisted;
  }

  boolean hasBasis() {
    return basis != null;
  }

  /** What was persisted may be acted on from here on. */
  void actOnPersisted() {
    basis = persisted;
  }

  boolean isRecordOutdated() {
    return recordOutdated;
  }

  void recordIsCurrent() {
    recordOutdated = false;
  }

  /** The record as it is to stand in the store. */
  MemberRecord memberRecord() {
    long actingNumber = persisted.actingVersion().number();
    ConfigVersion acked = persisted.ackedVersion();
    return new MemberRecord(
        identity.name(),
        identity.incarnation(),
        Math.max(actingNumber, numberOf(acked)),
        voter.nackedNumber(),
        voter.nackReason(),
        actingNumber);
  }

  void handleJoined() {
    persistJoined(true);
    basis = persisted;
    recordOutdated = false;
  }

  /** An operator has taken the record away: others move on without this member's ack. */
  void handleDeclaredLost() {
    basis = null;
    persistJoined(false);
  }

  /** Persists whether a record stands for what was persisted. */
  void persistJoined(boolean joined) {
    persisted = persisted.withJoined(joined);
    callbacks.persist(persisted);
  }

  /** What may be acted on now, under a lease that ends at the time. */
  EffectiveConfig effectiveConfig(long leaseEndNanos) {
    return basis == null
        ? EffectiveConfigRules.withoutBasis(persisted, localContent)
        : EffectiveConfigRules.of(basis, localContent, leaseEndNanos);
  }

  /** Goes along with the version in force, and votes on the proposed one. */
  void follow(AgreementSnapshot snapshot, boolean joined) {
    PersistedConfig before = persisted;
    long nackedBefore = voter.nackedNumber();
    ConfigVersion acting = snapshot.current();
    ConfigVersion acked = ackedVersion(snapshot);
    persisted = persistable(snapshot, joined, acked);
    boolean changed = isChanged(before, persisted);
    if (changed) {
      persistFollowed(snapshot, before);
    }
    recordOutdated |= changed || voter.nackedNumber() != nackedBefore;
    if (!before.actingVersion().isSameAs(acting)) {
      log.accept("agreement: acts on version " + acting.number() + " (" + acting.reason() + ")");
    }
  }

  /** The acked version above the one in force, or null. */
  private ConfigVersion ackedVersion(AgreementSnapshot snapshot) {
    if (snapshot.proposedNumber() == 0) {
      // What was turned down can come into force no more.
      return null;
    }
    ConfigVersion acked = persisted.ackedVersion();
    boolean stillAhead = numberOf(acked) > snapshot.current().number();
    if (stillAhead && acked.number() >= snapshot.proposedNumber()) {
      return acked;
    }
    return voter.vote(snapshot);
  }

  /** An ack that a restart forgets would be none: it is taken back if it cannot be persisted. */
  @SuppressWarnings("ReferenceEquality") // The very version, not one alike.
  private void persistFollowed(AgreementSnapshot snapshot, PersistedConfig before) {
    ConfigVersion acked = persisted.ackedVersion();
    boolean ackedNow = acked != null && acked != before.ackedVersion();
    if (!callbacks.persist(persisted) && ackedNow) {
      voter.nack(acked.number(), "it cannot be kept for a restart");
      persisted = persistable(snapshot, persisted.joined(), before.ackedVersion());
    }
  }

  private static PersistedConfig persistable(
      AgreementSnapshot snapshot, boolean joined, ConfigVersion acked) {
    return new PersistedConfig(
        snapshot.agreementId(),
        snapshot.clusterId(),
        snapshot.storeRevision(),
        joined,
        snapshot.current(),
        acked);
  }

  private static boolean isChanged(PersistedConfig before, PersistedConfig after) {
    return !before.agreementId().equals(after.agreementId())
        || !before.actingVersion().isSameAs(after.actingVersion())
        || numberOf(before.ackedVersion()) != numberOf(after.ackedVersion());
  }

  private static long numberOf(ConfigVersion version) {
    return version == null ? 0 : version.number();
  }
}
