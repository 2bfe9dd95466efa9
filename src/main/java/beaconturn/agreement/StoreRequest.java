package beaconturn.agreement;

import java.util.List;

/** A request to the coordination store. The result is a {@link StoreResponse}. */
public sealed interface StoreRequest {
  /** Grants a lease that expires after its time to live unless it is kept alive. */
  record Grant(long ttlSeconds) implements StoreRequest {}

  /** Restarts the lease's time to live when the store receives the request. */
  record KeepAlive(long leaseId) implements StoreRequest {}

  /** Revokes the lease and deletes all entries bound to it. */
  record Revoke(long leaseId) implements StoreRequest {}

  /** Reads all entries whose keys start with the prefix, at one revision, from a quorum. */
  record Read(String prefix) implements StoreRequest {}

  /** Applies all changes if all conditions hold, else none. */
  record Transaction(List<Condition> conditions, List<Change> changes) implements StoreRequest {}

  /** A condition of a transaction. */
  sealed interface Condition {
    /** The entry was last modified at this revision; 0 if it must not exist. */
    record Unchanged(String key, long modRevision) implements Condition {}

    /** The entry exists. */
    record Exists(String key) implements Condition {}

    /** No entry whose key starts with the prefix was created or modified after this revision. */
    record NoneModifiedAfter(String prefix, long storeRevision) implements Condition {}
  }

  /** A change made by a transaction. */
  sealed interface Change {
    /** Sets the entry and binds it to the lease, unless the lease id is 0. */
    record Put(String key, String value, long leaseId) implements Change {}

    /** Deletes the entry, if it exists. */
    record Delete(String key) implements Change {}
  }
}
