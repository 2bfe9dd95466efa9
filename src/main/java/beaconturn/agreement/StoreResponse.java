package beaconturn.agreement;

import java.util.List;

/** What became of a {@link StoreRequest}. */
public sealed interface StoreResponse {
  /**
   * The store has answered.
   *
   * @param conditionsHeld whether a transaction's conditions held
   * @param clusterId which store it is; another id is another store
   * @param storeRevision how far the store has come
   * @param entries what was read
   * @param leaseId of a lease that was granted
   * @param leaseTtlSeconds for how long that lease lives, 0 if it does not
   */
  record Success(
      boolean conditionsHeld,
      String clusterId,
      long storeRevision,
      List<Entry> entries,
      long leaseId,
      long leaseTtlSeconds)
      implements StoreResponse {}

  /** No answer, or one that cannot be used; a transaction may or may not have come about. */
  record RequestFailed(String reason) implements StoreResponse {}

  /**
   * A key and its value.
   *
   * @param createRevision the revision of the store at which it was made
   * @param modRevision the one at which it was last changed
   * @param leaseId of the lease that it is on, or 0
   */
  record Entry(String key, String value, long createRevision, long modRevision, long leaseId) {}
}
