package beaconturn.net;

import beaconturn.core.Clock;
import beaconturn.protocol.Slice;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/**
 * The actor that writes a client's answers in the order of the commands. It runs on a thread only while there
 * is something to write.
 */
final class ClientWriter {
    /** In the place of an answer: nothing more is written. */
    static final Slice END = Slice.of("");
    private static final int MOST_PIPELINED = 32;
    /** Answers may be this many behind one that its client is slow to take; else they would fill the heap. */
    private static final int MOST_BEHIND = 2;
    private static final long NEVER = Long.MAX_VALUE;

    private final Socket socket;
    private final Clock clock;
    private final Writers writers;
    private final Runnable whenQuiet;
    private volatile long writingSince = NEVER;
    // Guarded by this:
    private final Deque<Reply> replies = new ArrayDeque<>(2);
    private boolean scheduled;
    private int unanswered;
    private long quietSince;
    private long closingSince = NEVER;

    /** A writer that says each time that the last answer is written. */
    ClientWriter(Socket socket, Clock clock, Writers writers, Runnable whenQuiet) {
        this.socket = socket;
        this.clock = clock;
        this.writers = writers;
        this.whenQuiet = whenQuiet;
        this.quietSince = clock.now();
    }

    /** Since when no answer is owed, or {@code Long.MAX_VALUE} if one is, or the connection is ending. */
    synchronized long quietSince() {
        return unanswered == 0 && closingSince == NEVER ? quietSince : NEVER;
    }

    /** Since when an answer is being written, or {@code Long.MAX_VALUE} if none is. */
    long writingSince() {
        return writingSince;
    }

    /** Since when the client is awaited to close its end, or {@code Long.MAX_VALUE} if it is not. */
    synchronized long closingSince() {
        return closingSince;
    }

    /** Gives the reply the next place; false if the connection is ending. For the thread that reads. */
    boolean take(Reply reply) throws InterruptedException {
        if (!begin()) {
            return false;
        }
        add(reply);
        return true;
    }

    /** Answers at once what needs no waiting, by the thread that reads if no other answer is owed. */
    void answer(Slice bytes) throws InterruptedException, IOException {
        boolean alone;
        synchronized (this) {
            alone = unanswered == 0;
        }
        if (!alone) {
            take(Reply.of(bytes));
        } else if (begin()) {
            send(bytes);
        }
    }

    private synchronized boolean begin() throws InterruptedException {
        while (unanswered > MOST_PIPELINED || writingSince != NEVER && unanswered > MOST_BEHIND) {
            wait();
        }
        if (closingSince != NEVER) {
            return false;
        }
        unanswered++;
        return true;
    }

    private void add(Reply reply) {
        synchronized (this) {
            replies.add(reply);
        }
        reply.whenFilled(this::wake);
    }

    /** Never waits: the module's thread comes here with each answer. */
    private void wake() {
        synchronized (this) {
            if (scheduled || replies.isEmpty() || !replies.peek().isFilled()) {
                return;
            }
            scheduled = true;
        }
        writers.schedule(this);
    }

    /**
     * Ends the connection if no answer is owed; false if one is. Only its sending: closing all of it would
     * reset it under a request that crosses, and with it the last answer on its way.
     */
    boolean finishIfQuiet() {
        synchronized (this) {
            if (quietSince() == NEVER) {
                return false;
            }
        }
        endOutput();
        return true;
    }

    /** Ends the sending after what is owed, and waits for that. */
    void finish() throws InterruptedException {
        if (finishIfQuiet()) {
            return;
        }
        add(Reply.of(END));
        synchronized (this) {
            while (closingSince == NEVER) {
                wait();
            }
        }
    }

    /** The connection is closed: nothing of what waits will be written. */
    void abandon() {
        synchronized (this) {
            replies.clear();
            closingSince = Math.min(closingSince, clock.now());
            notifyAll();
        }
    }

    /** Writes the answers that are there, up to the first that is not. */
    void write() {
        try {
            for (Slice next = nextAnswer(); next != null; next = nextAnswer()) {
                if (next == END) {
                    endOutput();
                    return;
                }
                send(next);
            }
        } catch (IOException e) {
            // The reader sees the same end and tells the module; nothing can be said to this client.
            Sockets.close(socket);
            abandon();
        }
    }

    private synchronized Slice nextAnswer() {
        if (replies.isEmpty() || !replies.peek().isFilled()) {
            scheduled = false;
            return null;
        }
        return replies.poll().bytes();
    }

    private void send(Slice bytes) throws IOException {
        writingSince = clock.now();
        try {
            Sockets.write(socket.getOutputStream(), List.of(bytes));
        } finally {
            synchronized (this) {
                writingSince = NEVER;
                notifyAll();
            }
        }
        boolean quiet;
        synchronized (this) {
            unanswered--;
            quietSince = clock.now();
            quiet = unanswered == 0;
        }
        if (quiet) {
            whenQuiet.run();
        }
    }

    private void endOutput() {
        synchronized (this) {
            closingSince = Math.min(closingSince, clock.now());
            notifyAll();
        }
        try {
            socket.shutdownOutput();
        } catch (IOException e) {
            Sockets.close(socket);
        }
    }
}
