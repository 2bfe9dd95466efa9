package beaconturn.agreement;

import java.util.List;

/** Result of a {@link StoreRequest}. */
public sealed interface StoreResponse {
  /**
   * The reply of the store. Fields that do not apply to the request are false, 0 or empty.
   *
   * @param conditionsHeld whether the transaction's conditions held and its changes were applied
   * @param clusterId id of the store's cluster
   * @param storeRevision revision of the store
   * @param entries the entries that were read
   * @param leaseId id of the granted lease
   * @param leaseTtlSeconds remaining time to live of the granted or renewed lease, 0 if it has
   *     expired
   */
  record Success(
      boolean conditionsHeld,
      String clusterId,
      long storeRevision,
      List<Entry> entries,
      long leaseId,
      long leaseTtlSeconds)
      implements StoreResponse {}

  /** No reply or an invalid one. A transaction may have been committed nevertheless. */
  record RequestFailed(String reason) implements StoreResponse {}

  /**
   * An entry of the store.
   *
   * @param createRevision store revision at which the entry was created
   * @param modRevision store revision at which the entry was last modified
   * @param leaseId id of the lease that the entry is bound to, or 0
   */
  record Entry(String key, String value, long createRevision, long modRevision, long leaseId) {}
}
