package beaconturn.net;

import beaconturn.core.Clock;
import beaconturn.core.Mailbox;
import beaconturn.protocol.RespWriter;
import beaconturn.protocol.Slice;
import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.logging.Logger;

/**
 * The actor that writes a client's answers in the order of the commands. Its thread lives while there is
 * something to write and a little longer; an idle connection has none.
 */
final class ClientWriter {
    /** In the place of an answer: nothing more is written. */
    static final Slice END = Slice.of("");
    private static final Logger LOG = Logger.getLogger(ClientWriter.class.getName());
    private static final Slice NO_THREAD = RespWriter.failure("ERR no room for this request");
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

    /**
     * Gives the reply the next place; false if the connection takes no more, as it is ending or the machine
     * has no thread to write with. For the thread that reads.
     */
    boolean take(Reply reply) throws InterruptedException, IOException {
        if (!begin()) {
            return false;
        }
        replies.put(reply);
        try {
            ensureRunning();
            return true;
        } catch (OutOfMemoryError e) {
            // No thread runs, so no other answer waits: this client is told at once, and nothing is sent on.
            LOG.warning("no thread to write an answer, its request is turned away");
            replies.poll(0);
            reply.fill(NO_THREAD);
            writeHere(NO_THREAD);
            return false;
        }
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
            writeHere(bytes);
        }
    }

    private synchronized boolean begin() throws InterruptedException {
        while (writingSince != NEVER && unanswered > MOST_BEHIND) {
            wait();
        }
        if (closingSince != NEVER) {
            return false;
        }
        unanswered++;
        return true;
    }

    private void writeHere(Slice bytes) throws IOException {
        writingSince = clock.now();
        try {
            Sockets.write(socket.getOutputStream(), List.of(bytes));
        } finally {
            writeEnded();
        }
        answered();
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
            closingSince = clock.now();
            notifyAll();
        }
        try {
            socket.shutdownOutput();
        } catch (IOException e) {
            Sockets.close(socket);
        }
        return true;
    }

    /** Ends the sending after what is owed, and waits for that. */
    void finish() throws InterruptedException {
        if (finishIfQuiet()) {
            return;
        }
        replies.put(Reply.of(END));
        ensureRunning();
        synchronized (this) {
            while (closingSince == NEVER) {
                wait();
            }
        }
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
            broken();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            broken();
        } finally {
            writeEnded();
        }
    }

    private void broken() {
        Sockets.close(socket);
        synchronized (this) {
            closingSince = Math.min(closingSince, clock.now());
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
            notifyAll();
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
