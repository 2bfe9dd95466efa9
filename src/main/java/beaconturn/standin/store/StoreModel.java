package beaconturn.standin.store;

import beaconturn.standin.EventScheduler;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;

/**
 * Models the coordination store: a key-value store in which each transaction makes a new revision,
 * with leases, stale reads, loss of all data and restoration of an older revision. Single-threaded.
 */
public final class StoreModel {
  private static final long NANOS_PER_SECOND = 1_000_000_000;
  private static final int MAX_UNDO_COUNT = 4096;
  private final EventScheduler scheduler;
  private final ChangeListener listener;

  /** Undo records of the last revisions, the latest first; full copies would take much memory. */
  private final Deque<Undo> undoLog = new ArrayDeque<>();

  private final Map<Long, Lease> leases = new HashMap<>();
  private NavigableMap<String, Pair> keys = new TreeMap<>();

  /** The data that reads see while the store is frozen, else null. */
  private NavigableMap<String, Pair> frozenKeys;

  private long clusterId;
  private long revision = 1;
  private long lastLeaseId;

  /** The revision that reads see while the store is frozen, else 0. */
  private long frozenRevision;

  /** Receives each change of a key. */
  public interface ChangeListener {
    /** A key was set to a value, or deleted if the value is null. */
    void changed(long atNanos, long revision, String key, String value);
  }

  /** A key with its value and metadata; the lease is 0 if there is none. */
  public record Pair(
      String key, String value, long createRevision, long modRevision, long version, long lease) {}

  /**
   * A condition of a transaction: compares a field of a key with a number, or the field of each
   * existing key from {@code key} to before {@code rangeEnd} if that is not empty.
   */
  public record Condition(String key, String rangeEnd, Target target, Result result, long number) {}

  /** The field that a condition compares. */
  public enum Target {
    VERSION,
    CREATE,
    MOD,
    LEASE
  }

  /** The comparison of a condition. */
  public enum Result {
    EQUAL,
    GREATER,
    LESS,
    NOT_EQUAL
  }

  /**
   * A change of a transaction: puts the value, or deletes the key if the value is null, or all keys
   * to before {@code rangeEnd} if that is not empty.
   */
  public record ModelChange(String key, String rangeEnd, String value, long lease) {}

  /** A revision and the previous pairs of the keys that it changed; null for a new key. */
  private record Undo(long revision, Map<String, Pair> previous) {}

  private static final class Lease {
    private final long ttlSeconds;
    private EventScheduler.Task expiry;

    private Lease(long ttlSeconds) {
      this.ttlSeconds = ttlSeconds;
    }
  }

  /** Creates an empty store at revision 1. */
  public StoreModel(EventScheduler scheduler, long clusterId, ChangeListener listener) {
    this.scheduler = scheduler;
    this.clusterId = clusterId;
    this.listener = listener;
  }

  /** Returns the cluster id, which changes if the store is replaced or restored. */
  public long clusterId() {
    return clusterId;
  }

  /** Returns the revision that reads see, which is an old one while the store is frozen. */
  public long revision() {
    return frozenRevision > 0 ? frozenRevision : revision;
  }

  /**
   * Returns the pairs from {@code key} to before {@code end}, or of that key if the end is empty.
   */
  public List<Pair> range(String key, String end) {
    NavigableMap<String, Pair> visible = frozenRevision > 0 ? frozenKeys : keys;
    return new ArrayList<>(rangeOf(visible, key, end).values());
  }

  private static NavigableMap<String, Pair> rangeOf(
      NavigableMap<String, Pair> map, String key, String end) {
    return end.isEmpty() ? map.subMap(key, true, key, true) : map.subMap(key, true, end, false);
  }

  /**
   * Applies all changes as one revision if all conditions hold.
   *
   * @return whether the conditions held
   * @throws IllegalArgumentException if a change refers to a lease that does not exist
   */
  public boolean transact(List<Condition> conditions, List<ModelChange> changes) {
    if (!conditions.stream().allMatch(this::holds)) {
      return false;
    }
    if (changes.stream().anyMatch(c -> c.lease() != 0 && !leases.containsKey(c.lease()))) {
      throw new IllegalArgumentException("requested lease not found");
    }
    apply(changes);
    return true;
  }

  private void apply(List<ModelChange> changes) {
    if (changes.isEmpty()) {
      return;
    }
    long next = revision + 1;
    Map<String, Pair> previous = new HashMap<>();
    for (ModelChange change : changes) {
      if (change.value() == null) {
        List<String> deleted =
            new ArrayList<>(rangeOf(keys, change.key(), change.rangeEnd()).keySet());
        deleted.forEach(
            key -> {
              Pair before = keys.remove(key);
              if (!previous.containsKey(key)) {
                previous.put(key, before);
              }
              listener.changed(scheduler.now(), next, key, null);
            });
      } else {
        Pair before = keys.get(change.key());
        if (!previous.containsKey(change.key())) {
          previous.put(change.key(), before);
        }
        keys.put(
            change.key(),
            new Pair(
                change.key(),
                change.value(),
                before == null ? next : before.createRevision(),
                next,
                before == null ? 1 : before.version() + 1,
                change.lease()));
        listener.changed(scheduler.now(), next, change.key(), change.value());
      }
    }
    revision = next;
    undoLog.addFirst(new Undo(next, previous));
    if (undoLog.size() > MAX_UNDO_COUNT) {
      undoLog.removeLast();
    }
  }

  private boolean holds(Condition condition) {
    if (!condition.rangeEnd().isEmpty()) {
      return rangeOf(keys, condition.key(), condition.rangeEnd()).values().stream()
          .allMatch(pair -> holds(condition, field(condition.target(), pair)));
    }
    Pair pair = keys.get(condition.key());
    return holds(condition, pair == null ? 0 : field(condition.target(), pair));
  }

  private static long field(Target target, Pair pair) {
    return switch (target) {
      case VERSION -> pair.version();
      case CREATE -> pair.createRevision();
      case MOD -> pair.modRevision();
      case LEASE -> pair.lease();
    };
  }

  private static boolean holds(Condition condition, long value) {
    return switch (condition.result()) {
      case EQUAL -> value == condition.number();
      case GREATER -> value > condition.number();
      case LESS -> value < condition.number();
      case NOT_EQUAL -> value != condition.number();
    };
  }

  /** Grants a lease and returns its id. */
  public long grant(long ttlSeconds) {
    long id = ++lastLeaseId;
    leases.put(id, new Lease(ttlSeconds));
    keepAlive(id);
    return id;
  }

  /** Renews a lease and returns its time to live in seconds, or 0 if it does not exist. */
  public long keepAlive(long id) {
    Lease lease = leases.get(id);
    if (lease == null) {
      return 0;
    }
    if (lease.expiry != null) {
      lease.expiry.cancel();
    }
    lease.expiry = scheduler.in(lease.ttlSeconds * NANOS_PER_SECOND, () -> revoke(id));
    return lease.ttlSeconds;
  }

  /** Revokes a lease and deletes the keys that are attached to it. */
  public void revoke(long id) {
    Lease lease = leases.remove(id);
    if (lease != null) {
      lease.expiry.cancel();
      apply(
          keys.values().stream()
              .filter(pair -> pair.lease() == id)
              .map(pair -> new ModelChange(pair.key(), "", null, 0))
              .toList());
    }
  }

  /** Suspends the expiry of leases, as while the cluster has no leader. */
  public void suspendLeaseExpiry() {
    leases.values().forEach(lease -> lease.expiry.cancel());
  }

  /** Restarts the full time to live of all leases, as a new leader does. */
  public void restartLeases() {
    List.copyOf(leases.keySet()).forEach(this::keepAlive);
  }

  /** Freezes reads at the current revision, as on a lagging member, or ends that. */
  public void freeze(boolean on) {
    frozenRevision = on ? revision : 0;
    frozenKeys = on ? new TreeMap<>(keys) : null;
  }

  /**
   * Replaces the store by an empty one with another cluster id, as after the loss of all members.
   */
  public void replaceWithEmpty(long newClusterId) {
    leases.values().forEach(lease -> lease.expiry.cancel());
    leases.clear();
    undoLog.clear();
    keys = new TreeMap<>();
    clusterId = newClusterId;
    revision = 1;
    frozenRevision = 0;
    frozenKeys = null;
  }

  /**
   * Restores the data of a number of revisions ago, or the oldest that is kept, without leases. As
   * after a restoration of etcd from a snapshot, the cluster id changes.
   */
  public void rewind(long revisions) {
    long targetRevision = revision - revisions;
    leases.values().forEach(lease -> lease.expiry.cancel());
    leases.clear();
    clusterId++;
    while (revision > targetRevision && !undoLog.isEmpty()) {
      Undo undo = undoLog.removeFirst();
      undo.previous()
          .forEach(
              (key, pair) -> {
                if (pair == null) {
                  keys.remove(key);
                } else {
                  keys.put(key, pair);
                }
              });
      revision = undo.revision() - 1;
    }
    frozenRevision = 0;
    frozenKeys = null;
  }
}
