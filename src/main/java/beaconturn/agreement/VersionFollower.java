package beaconturn.agreement;

import java.util.function.Consumer;

/**
 * Follows the version in force, votes on proposed versions and persists both. Confined to the
 * member's thread.
 */
final class VersionFollower {
  private final MemberIdentity identity;
  private final ConfigContent localContent;
  private final VersionVoter voter;
  private final AgreementCallbacks callbacks;
  private final Consumer<String> log;
  private PersistedConfig persisted;

  /**
   * The state that the effective configuration is derived from. It is set only while a record of
   * this process or of its predecessor is in the store; otherwise null, as versions may have come
   * into force without this member's ack.
   */
  private PersistedConfig basis;

  /** Whether the record in the store must be updated. */
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

  /** Makes the persisted state the basis of the effective configuration. */
  void actOnPersisted() {
    basis = persisted;
  }

  boolean isRecordOutdated() {
    return recordOutdated;
  }

  void markRecordCurrent() {
    recordOutdated = false;
  }

  /** Returns the record to be written to the store. */
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

  /** Handles the deletion of the record: versions now come into force without this member's ack. */
  void handleDeclaredLost() {
    basis = null;
    persistJoined(false);
  }

  /** Persists whether the store holds a record of this router. */
  void persistJoined(boolean joined) {
    persisted = persisted.withJoined(joined);
    callbacks.persist(persisted);
  }

  /** Returns the effective configuration under a lease that expires at the given time. */
  EffectiveConfig effectiveConfig(long leaseEndNanos) {
    return basis == null
        ? EffectiveConfigRules.withoutBasis(persisted, localContent)
        : EffectiveConfigRules.of(basis, localContent, leaseEndNanos);
  }

  /** Adopts the version in force and votes on the proposed one. */
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

  /** Returns the acked version that is newer than the one in force, or null. */
  private ConfigVersion ackedVersion(AgreementSnapshot snapshot) {
    if (snapshot.proposedNumber() == 0) {
      // A rejected version can no longer come into force.
      return null;
    }
    ConfigVersion acked = persisted.ackedVersion();
    boolean stillAhead = numberOf(acked) > snapshot.current().number();
    if (stillAhead && acked.number() >= snapshot.proposedNumber()) {
      return acked;
    }
    return voter.vote(snapshot);
  }

  /** Replaces an ack that cannot be persisted by a nack, as the ack would be lost in a restart. */
  @SuppressWarnings("ReferenceEquality") // A new ack is a different object.
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
