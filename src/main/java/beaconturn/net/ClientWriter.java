package beaconturn.net;

import beaconturn.core.Clock;
import beaconturn.core.Mailbox;
import beaconturn.protocol.Slice;
import java.io.IOException;
import java.net.Socket;
import java.util.List;

/**
 * The actor that writes a client's answers in the order of the commands. Its thread lives while there is
 * something to write and a little longer; an idle connection has none.
 */
final class ClientWriter {
    /** In the place of an answer: nothing more is written. */
    static final Slice END = Slice.of("");
    private static final int MOST_PIPELINED = 32;
    /** Answers may be this many behind one that its client is slow to take; else they would fill the heap. */
    private static final int MOST_BEHIND = 2;
    private static final long IDLE = 2_000_000_000;
    private static final long NEVER = Long.MAX_VALUE;

    private final Socket socket;
    private final Clock clock;
    private final Runnable whenQuiet;
    private final Mailbox<Reply> replies = new Mailbox<>(MOST_PIPELINED);
    private volatile long writingSince = NEVER;
    // Guarded by this:
    private boolean running;
    private int unanswered;
    private long quietSince;
    private long closingSince = NEVER;

    /** A writer that says each time that the last answer is written. */
    ClientWriter(Socket socket, Clock clock, Runnable whenQuiet) {
        this.socket = socket;
        this.clock = clock;
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

    /** Gives the reply the next place; false if the connection is ending and takes no more. */
    boolean take(Reply reply) throws InterruptedException {
        synchronized (this) {
            while (writingSince != NEVER && unanswered > MOST_BEHIND) {
                wait();
            }
            if (closingSince != NEVER) {
                return false;
            }
            unanswered++;
        }
        replies.put(reply);
        ensureRunning();
        return true;
    }

    /**
     * Ends the connection if no answer is owed. Only its sending: closing all of it would reset it under a
     * request that crosses, and with it the last answer on its way.
     */
    void finishIfQuiet() {
        synchronized (this) {
            if (quietSince() == NEVER) {
                return;
            }
            closingSince = clock.now();
        }
        try {
            socket.shutdownOutput();
        } catch (IOException e) {
            Sockets.close(socket);
        }
    }

    /** Ends the sending after what is owed. */
    void finish() throws InterruptedException {
        replies.put(Reply.of(END));
        ensureRunning();
    }

    /** Ends the thread of a connection that is closed; a full mailbox ends it at its next answer. */
    void abandon() {
        replies.offer(Reply.of(END));
    }

    private synchronized void ensureRunning() {
        if (!running) {
            Threads.start("client-write", this::write);
            running = true;
        }
    }

    private void write() {
        try {
            for (Slice next = nextAnswer(); next != null; next = nextAnswer()) {
                if (next == END) {
                    endOutput();
                    return;
                }
                writingSince = clock.now();
                Sockets.write(socket.getOutputStream(), List.of(next));
                writeEnded();
                answered();
            }
        } catch (IOException e) {
            // The reader sees the same end and tells the module; nothing can be said to this client.
            Sockets.close(socket);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            Sockets.close(socket);
        } finally {
            writeEnded();
        }
    }

    /** The next answer in order, waiting for it; null if the thread may end, as nothing is owed. */
    private Slice nextAnswer() throws InterruptedException {
        while (true) {
            Reply next = replies.poll(IDLE);
            if (next != null) {
                return next.await();
            }
            synchronized (this) {
                if (replies.isEmpty()) {
                    running = false;
                    return null;
                }
            }
        }
    }

    private void endOutput() throws IOException {
        synchronized (this) {
            closingSince = Math.min(closingSince, clock.now());
        }
        socket.shutdownOutput();
    }

    private synchronized void writeEnded() {
        writingSince = NEVER;
        notifyAll();
    }

    private void answered() {
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
}
