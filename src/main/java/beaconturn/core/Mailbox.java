package beaconturn.core;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** The bounded queue in front of an actor: many threads post, one takes. */
public final class Mailbox<T> {
    private final BlockingQueue<T> queue;

    /** A mailbox for at most this many messages. */
    public Mailbox(int capacity) {
        queue = new LinkedBlockingQueue<>(capacity);
    }

    /** Posts without waiting; false if the mailbox is full. */
    public boolean offer(T message) {
        return queue.offer(message);
    }

    /** Posts without waiting, but only if room for so many more stays; false if not. */
    public boolean offerLeaving(int room, T message) {
        return queue.remainingCapacity() > room && queue.offer(message);
    }

    /** Posts, waiting for room: for threads that may wait, which the module's may not. */
    public void put(T message) throws InterruptedException {
        queue.put(message);
    }

    /** Takes the next message, waiting for it. */
    public T take() throws InterruptedException {
        return queue.take();
    }

    /** Takes the next message, or null if none comes in time. */
    public T poll(long nanos) throws InterruptedException {
        return nanos <= 0 ? queue.poll() : queue.poll(nanos, TimeUnit.NANOSECONDS);
    }
}
