package beaconturn.core;

import java.util.PriorityQueue;

/** What is due when, in order of time and then of asking; for one thread. */
final class Timers {
    private final PriorityQueue<Entry> queue = new PriorityQueue<>();
    private long asked;

    private record Entry(long at, long order, Runnable action) implements Comparable<Entry> {
        @Override
        public int compareTo(Entry other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(order, other.order);
        }
    }

    void at(long time, Runnable action) {
        queue.add(new Entry(time, asked++, action));
    }

    /** The time of the earliest timer, or the given time if that is earlier. */
    long next(long atMost) {
        return queue.isEmpty() ? atMost : Math.min(atMost, queue.peek().at());
    }

    /** Takes the earliest timer that is due, or null. */
    Runnable takeDue(long now) {
        return queue.isEmpty() || queue.peek().at() > now ? null : queue.poll().action();
    }
}
