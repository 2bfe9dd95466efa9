package beaconturn.agreement;

import java.util.List;

/**
 * What can be asked of the coordination store; whoever asks gets an {@link StoreResponse}, one call
 * at a time.
 */
public sealed interface StoreRequest {
  /** A lease of so many seconds. */
  record Grant(long ttlSeconds) implements StoreRequest {}

  /** The lease lives on from when the store hears this. */
  record KeepAlive(long leaseId) implements StoreRequest {}

  /** The lease ends, and what hangs on it goes. */
  record Revoke(long leaseId) implements StoreRequest {}

  /** All keys that begin so, as of one revision, read from a quorum. */
  record Read(String prefix) implements StoreRequest {}

  /** All changes if all conditions hold, else nothing. */
  record Transaction(List<Condition> conditions, List<Change> changes) implements StoreRequest {}

  /** What a swap depends on. */
  sealed interface Condition {
    /** The key was last changed at this revision; 0: it does not exist. */
    record Unchanged(String key, long modRevision) implements Condition {}

    /** The key is there. */
    record Exists(String key) implements Condition {}

    /** No key that begins so has been made or changed after this revision. */
    record NoneModifiedAfter(String prefix, long storeRevision) implements Condition {}
  }

  /** What a swap does. */
  sealed interface Change {
    /** Sets the key, hung on the lease unless that is 0. */
    record Put(String key, String value, long leaseId) implements Change {}

    /** Takes the key away, if it is there. */
    record Delete(String key) implements Change {}
  }
}
