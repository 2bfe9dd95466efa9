package beaconturn.net;

import java.util.logging.Level;
import java.util.logging.Logger;

/** Makes the platform threads: daemons with small stacks, whose failures are logged and end nothing else. */
final class Threads {
    private static final Logger LOG = Logger.getLogger(Threads.class.getName());
    private static final long STACK_BYTES = 192 * 1024;

    private Threads() {
    }

    static Thread start(String name, Runnable body) {
        Thread thread = new Thread(null, body, name, STACK_BYTES);
        thread.setDaemon(true);
        thread.setUncaughtExceptionHandler((t, e) -> LOG.log(Level.SEVERE, "thread " + t.getName(), e));
        thread.start();
        return thread;
    }
}
