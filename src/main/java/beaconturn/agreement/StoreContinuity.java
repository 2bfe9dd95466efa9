package beaconturn.agreement;

/**
 * Detects a store that was replaced, restored from a backup or lags behind. Pure functions; each
 * returns a description of the fault, or null.
 */
final class StoreContinuity {
  private StoreContinuity() {}

  /** Checks the header of a response. */
  static String faultOf(StoreResponse.Success response, PersistedConfig persisted) {
    if (!persisted.clusterId().isEmpty() && !response.clusterId().equals(persisted.clusterId())) {
      return "cluster id is "
          + response.clusterId()
          + ", expected "
          + persisted.clusterId()
          + ": the store was restored or replaced";
    }
    if (response.storeRevision() < persisted.storeRevision()) {
      return "its revision is lower than one seen before: it lags or was restored";
    }
    return null;
  }

  /** Checks the agreement and the version in force. */
  static String faultOf(AgreementSnapshot snapshot, PersistedConfig persisted) {
    if (persisted.agreementId().isEmpty()) {
      return null;
    }
    if (!snapshot.agreementId().equals(persisted.agreementId())) {
      String holds =
          snapshot.agreementId().isEmpty() ? "no agreement" : "agreement " + snapshot.agreementId();
      return "it holds " + holds + ", expected " + persisted.agreementId() + ": it was replaced";
    }
    ConfigVersion acting = persisted.actingVersion();
    ConfigVersion current = snapshot.current();
    boolean rewritten = current.number() == acting.number() && !current.isSameAs(acting);
    if (current.number() < acting.number() || rewritten) {
      return "version "
          + current.number()
          + " is in force there, but version "
          + acting.number()
          + " was in force before: the store lost or rewrote a version";
    }
    return null;
  }
}
