package beaconturn.core;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.TimeUnit;

/**
 * The bounded message queue of a thread: any thread posts, one thread takes. Waits on its own
 * monitor, because a timed wait on a java.util.concurrent condition (JDK 17, {@code awaitNanos})
 * that has expired spins until the signalling thread proceeds, which may never happen on one core.
 */
public final class Mailbox<T> {
  private final int capacity;
  // Guarded by this.
  private final Queue<T> urgent = new ArrayDeque<>();
  private final Queue<T> queue = new ArrayDeque<>();

  /** Creates a mailbox for {@code capacity} messages, urgent ones not counted. */
  public Mailbox(int capacity) {
    this.capacity = capacity;
  }

  /** Posts a message without waiting; false if the mailbox is full. */
  public boolean offer(T message) {
    return offerReserving(0, message);
  }

  /**
   * Posts a message without waiting; false if fewer than {@code reserved} slots would stay free.
   */
  public synchronized boolean offerReserving(int reserved, T message) {
    if (capacity - queue.size() <= reserved) {
      return false;
    }
    queue.add(message);
    notifyAll();
    return true;
  }

  /** Posts a message; blocks while the mailbox is full, so the routing thread must not call it. */
  public synchronized void put(T message) throws InterruptedException {
    while (!offer(message)) {
      wait();
    }
  }

  /**
   * Posts an urgent message, which overtakes all but earlier urgent messages. Never blocks, as the
   * capacity does not apply.
   */
  public synchronized void putFirst(T message) {
    urgent.add(message);
    notifyAll();
  }

  /** Takes the next message; blocks while there is none. */
  public synchronized T take() throws InterruptedException {
    while (isEmpty()) {
      wait();
    }
    return next();
  }

  /** Takes the next message, or null if none is posted within the timeout; up to 1 ms late. */
  public synchronized T poll(long timeoutNanos) throws InterruptedException {
    long endNanos = System.nanoTime() + timeoutNanos;
    for (long leftNanos = timeoutNanos;
        isEmpty() && leftNanos > 0;
        leftNanos = endNanos - System.nanoTime()) {
      TimeUnit.NANOSECONDS.timedWait(this, leftNanos);
    }
    return next();
  }

  private boolean isEmpty() {
    return queue.isEmpty() && urgent.isEmpty();
  }

  private T next() {
    if (!urgent.isEmpty()) {
      return urgent.poll();
    }
    if (queue.size() == capacity) {
      notifyAll();
    }
    return queue.poll();
  }
}
