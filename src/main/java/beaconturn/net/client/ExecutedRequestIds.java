package beaconturn.net.client;

import beaconturn.net.io.Fnv1a;
import beaconturn.protocol.Slice;
import java.lang.invoke.MethodHandles;
import java.lang.invoke.VarHandle;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;

/**
 * The ids of requests that may not be repeated and that may have been executed, whether or not
 * their clients still wait. The memory may be shared with another process of the router.
 *
 * <p>An id is kept as a fingerprint in one of the entries of its bucket, where it replaces the
 * oldest one. An entry holds the fingerprint in its upper 40 bits, never 0, and the time at which
 * it was claimed, in seconds, in its lower 24 bits. If two processes claim an id at once, one of
 * them or neither succeeds. For any thread.
 */
public final class ExecutedRequestIds {
  private static final int BUCKET_BITS = 13;
  private static final int ENTRIES_PER_BUCKET = 8;
  private static final int TIME_BITS = 24;
  private static final long TIME_MASK = (1L << TIME_BITS) - 1;
  private static final long FINGERPRINT_MASK = (1L << (Long.SIZE - TIME_BITS)) - 1;
  private static final long EMPTY = 0;
  private static final long NANOS_PER_SECOND = 1_000_000_000;

  /** The size of the memory: 64 K ids. */
  public static final int MEMORY_BYTES = (ENTRIES_PER_BUCKET << BUCKET_BITS) * Long.BYTES;

  private static final VarHandle ENTRIES =
      MethodHandles.byteBufferViewVarHandle(long[].class, ByteOrder.nativeOrder());

  private final ByteBuffer memory;

  /** Creates an empty set in memory of this process. */
  public ExecutedRequestIds() {
    this(ByteBuffer.allocateDirect(MEMORY_BYTES));
  }

  /** Creates a set in the memory, which holds zeros or the ids of another set. */
  public ExecutedRequestIds(ByteBuffer memory) {
    this.memory = memory;
  }

  /** Adds the id; false if it is in the set, or another process adds it at the same time. */
  boolean claim(Slice id, long nowNanos) {
    long hash = hash(id);
    long fingerprint = fingerprint(hash);
    long nowSeconds = nowNanos / NANOS_PER_SECOND;
    long entry = (fingerprint << TIME_BITS) | (nowSeconds & TIME_MASK);
    int first = firstEntry(hash);
    int claimed = -1;
    while (claimed < 0) {
      int oldest = first;
      long replaced = get(first);
      for (int i = first; i < first + ENTRIES_PER_BUCKET; i++) {
        long candidate = get(i);
        if (candidate >>> TIME_BITS == fingerprint) {
          return false;
        }
        if (age(candidate, nowSeconds) > age(replaced, nowSeconds)) {
          oldest = i;
          replaced = candidate;
        }
      }
      // Fails if another thread has used the entry since it was read.
      claimed = ENTRIES.compareAndSet(memory, offset(oldest), replaced, entry) ? oldest : -1;
    }
    if (indexOf(fingerprint, first, claimed) < 0) {
      return true;
    }
    ENTRIES.compareAndSet(memory, offset(claimed), entry, EMPTY);
    return false;
  }

  /** Removes an id whose request was not sent to any cache server. */
  void release(Slice id) {
    long hash = hash(id);
    int index = indexOf(fingerprint(hash), firstEntry(hash), -1);
    if (index >= 0) {
      ENTRIES.setVolatile(memory, offset(index), EMPTY);
    }
  }

  private int indexOf(long fingerprint, int first, int except) {
    for (int i = first; i < first + ENTRIES_PER_BUCKET; i++) {
      if (i != except && get(i) >>> TIME_BITS == fingerprint) {
        return i;
      }
    }
    return -1;
  }

  /** The time since an entry was claimed, in seconds; the longest possible for an empty one. */
  private static long age(long entry, long nowSeconds) {
    return entry == EMPTY ? Long.MAX_VALUE : (nowSeconds - entry) & TIME_MASK;
  }

  private long get(int index) {
    return (long) ENTRIES.getVolatile(memory, offset(index));
  }

  private static int offset(int index) {
    return index * Long.BYTES;
  }

  private static int firstEntry(long hash) {
    return (int) (hash >>> (Long.SIZE - BUCKET_BITS)) * ENTRIES_PER_BUCKET;
  }

  private static long fingerprint(long hash) {
    return Math.max(1, hash & FINGERPRINT_MASK);
  }

  /** Mixes the hash, as similar ids have similar ones (finalizer of MurmurHash3). */
  private static long hash(Slice id) {
    long hash = Fnv1a.of(id);
    hash = (hash ^ (hash >>> 33)) * 0xff51afd7ed558ccdL;
    hash = (hash ^ (hash >>> 33)) * 0xc4ceb9fe1a85ec53L;
    return hash ^ (hash >>> 33);
  }
}
