package beaconturn.agreement;

/**
 * Checks that the store is still the one that was followed, and not replaced, restored or behind.
 * Pure functions; each gives the fault in words, or null.
 */
final class StoreContinuity {
  private StoreContinuity() {}

  /** What is wrong with any response. */
  static String faultOf(StoreResponse.Success response, PersistedConfig persisted) {
    if (!persisted.clusterId().isEmpty() && !response.clusterId().equals(persisted.clusterId())) {
      return "it is another cluster, "
          + response.clusterId()
          + " and not "
          + persisted.clusterId()
          + ": it was restored or replaced";
    }
    if (response.storeRevision() < persisted.storeRevision()) {
      return "it is behind what was seen: a member that lags, or an older copy";
    }
    return null;
  }

  /** What is wrong with the versions that were read. */
  static String faultOf(AgreementSnapshot snapshot, PersistedConfig persisted) {
    if (persisted.agreementId().isEmpty()) {
      return null;
    }
    if (!snapshot.agreementId().equals(persisted.agreementId())) {
      String holds =
          snapshot.agreementId().isEmpty() ? "no agreement" : "agreement " + snapshot.agreementId();
      return "it holds " + holds + " and not " + persisted.agreementId() + ": it was replaced";
    }
    ConfigVersion acting = persisted.actingVersion();
    ConfigVersion current = snapshot.current();
    boolean rewritten = current.number() == acting.number() && !current.isSameAs(acting);
    if (current.number() < acting.number() || rewritten) {
      return "it has version "
          + current.number()
          + " in force, and "
          + acting.number()
          + " was in force before: nobody goes back in time";
    }
    return null;
  }
}
