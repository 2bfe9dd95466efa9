package beaconturn.agreement;

import java.util.List;

/**
 * What can be asked of the coordination store; whoever asks gets an {@link Answer}, one call at a
 * time.
 */
public sealed interface Call {
  /** A lease of so many seconds. */
  record Grant(long seconds) implements Call {}

  /** The lease lives on from when the store hears this. */
  record KeepAlive(long lease) implements Call {}

  /** The lease ends, and what hangs on it goes. */
  record Revoke(long lease) implements Call {}

  /** All keys that begin so, as of one revision, read from a quorum. */
  record Read(String prefix) implements Call {}

  /** All changes if all conditions hold, else nothing. */
  record Swap(List<Condition> conditions, List<Change> changes) implements Call {}

  /** What a swap depends on. */
  sealed interface Condition {
    /** The key was last changed at this revision; 0: it does not exist. */
    record Unchanged(String key, long revision) implements Condition {}

    /** The key is there. */
    record Stands(String key) implements Condition {}

    /** No key that begins so has been made or changed after this revision. */
    record NoneAfter(String prefix, long revision) implements Condition {}
  }

  /** What a swap does. */
  sealed interface Change {
    /** Sets the key, hung on the lease unless that is 0. */
    record Put(String key, String value, long lease) implements Change {}

    /** Takes the key away, if it is there. */
    record Delete(String key) implements Change {}
  }
}
