package beaconturn.core;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.TimeUnit;

/**
 * The bounded queue in front of a thread: any thread posts, one takes. It waits on its own monitor:
 * a timed wait on a condition of java.util.concurrent (JDK 17, {@code awaitNanos}) spins once its
 * time is over, until the poster that has begun to wake it goes on. Where threads take turns on one
 * core that turn may never come.
 */
public final class Mailbox<T> {
  private final int capacity;
  // Guarded by this.
  private final Queue<T> urgent = new ArrayDeque<>();
  private final Queue<T> queue = new ArrayDeque<>();

  /** A mailbox for at most this many messages. */
  public Mailbox(int capacity) {
    this.capacity = capacity;
  }

  /** Posts without waiting; false if the mailbox is full. */
  public boolean offer(T message) {
    return offerReserving(0, message);
  }

  /** Posts without waiting, but only if room for so many more stays; false if not. */
  public synchronized boolean offerReserving(int room, T message) {
    if (capacity - queue.size() <= room) {
      return false;
    }
    queue.add(message);
    notifyAll();
    return true;
  }

  /** Posts, waiting for room: for threads that may wait, which the routing thread may not. */
  public synchronized void put(T message) throws InterruptedException {
    while (!offer(message)) {
      wait();
    }
  }

  /**
   * Posts what is taken before all that waits, but for what was posted so before; there is always
   * room.
   */
  public synchronized void putFirst(T message) {
    urgent.add(message);
    notifyAll();
  }

  /** Takes the next message, waiting for it. */
  public synchronized T take() throws InterruptedException {
    while (isEmpty()) {
      wait();
    }
    return next();
  }

  /** Takes the next message, or null if none comes in so many nanoseconds; up to 1 ms late. */
  public synchronized T poll(long nanos) throws InterruptedException {
    long until = System.nanoTime() + nanos;
    for (long left = nanos; isEmpty() && left > 0; left = until - System.nanoTime()) {
      TimeUnit.NANOSECONDS.timedWait(this, left);
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
