package beaconturn.net;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * The threads on which clients' writers run while they have something to write: as many as write at one time,
 * which is one or two but for clients that are slow to take their answers. A thread for each connection would
 * have to be woken, and by a limit on the processor stopped, a hundred times for each that writes.
 */
final class Writers {
    private static final Logger LOG = Logger.getLogger(Writers.class.getName());
    private static final long IDLE_SECONDS = 1;
    private final BlockingQueue<ClientWriter> due = new LinkedBlockingQueue<>();
    // Guarded by this:
    private int threads;
    private int idle;

    /** Has the writer write what it can; never waits. The first thread stays, so that one is always there. */
    void schedule(ClientWriter writer) {
        due.add(writer);
        synchronized (this) {
            if (idle >= due.size()) {
                return;
            }
            threads++;
        }
        try {
            Threads.start("client-write", this::run);
        } catch (OutOfMemoryError e) {
            // It waits for the threads that there are, or for the next one that can be had.
            LOG.warning("no thread to write answers with, " + due.size() + " writers wait");
            ended();
        }
    }

    /** Starts a thread if writers wait and there is none, as none could be had when they came. */
    void check() {
        ClientWriter waiting = threads() == 0 ? due.poll() : null;
        if (waiting != null) {
            schedule(waiting);
        }
    }

    private synchronized int threads() {
        return threads;
    }

    private synchronized void ended() {
        threads--;
    }

    private void run() {
        try {
            for (ClientWriter next = next(); next != null; next = next()) {
                next.write();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (RuntimeException | Error e) {
            LOG.log(Level.SEVERE, "a writer failed", e);
        } finally {
            ended();
        }
    }

    private ClientWriter next() throws InterruptedException {
        synchronized (this) {
            idle++;
        }
        try {
            ClientWriter next = due.poll(IDLE_SECONDS, TimeUnit.SECONDS);
            while (next == null && threads() == 1) {
                next = due.poll(IDLE_SECONDS, TimeUnit.SECONDS);
            }
            return next;
        } finally {
            synchronized (this) {
                idle--;
            }
        }
    }
}
