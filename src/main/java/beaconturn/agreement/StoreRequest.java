package beaconturn.agreement;

import java.util.List;

/**
 * What can be asked of the coordination store; whoever asks gets a {@link StoreResponse}, one
 * request at a time.
 */
public sealed interface StoreRequest {
  /** A new lease that ends after its time to live, unless it is kept alive. */
  record Grant(long ttlSeconds) implements StoreRequest {}

  /** The lease's time to live starts anew when the store hears this. */
  record KeepAlive(long leaseId) implements StoreRequest {}

  /** The lease ends, and all entries on it are deleted. */
  record Revoke(long leaseId) implements StoreRequest {}

  /** All entries whose keys begin so, as of one revision, read from a quorum. */
  record Read(String prefix) implements StoreRequest {}

  /** All changes if all conditions hold, else nothing. */
  record Transaction(List<Condition> conditions, List<Change> changes) implements StoreRequest {}

  /** What a transaction depends on. */
  sealed interface Condition {
    /** The entry was last changed at this revision; 0: it does not exist. */
    record Unchanged(String key, long modRevision) implements Condition {}

    /** The entry exists. */
    record Exists(String key) implements Condition {}

    /** No entry whose key begins so was made or changed after this revision of the store. */
    record NoneModifiedAfter(String prefix, long storeRevision) implements Condition {}
  }

  /** What a transaction does. */
  sealed interface Change {
    /** Sets the entry, on the lease unless that is 0. */
    record Put(String key, String value, long leaseId) implements Change {}

    /** Deletes the entry, if it exists. */
    record Delete(String key) implements Change {}
  }
}
