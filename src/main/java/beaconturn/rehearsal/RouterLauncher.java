package beaconturn.rehearsal;

import java.io.IOException;
import java.nio.file.Path;

/** Starts routers under rehearsal, as processes or otherwise. */
public interface RouterLauncher {
    /** Starts a router with the configuration; its log goes to the file. It need not be ready yet. */
    Running launch(String name, Path config, Path log) throws IOException;

    /** Whether its routers can be killed and started again. */
    boolean restarts();

    /** A router that has been started. */
    interface Running {
        /** Whether it still runs. */
        boolean alive();

        /** Ends it outright. */
        void kill();

        /** Tells it to stop as planned. */
        void terminate();

        /**
         * Waits for its end, but not longer than so many milliseconds: its exit status, or -1 if it still
         * runs.
         */
        int awaitEnd(long millis) throws InterruptedException;

        /** Processor time that it has used, in nanoseconds; below 0 where that is not known. */
        long cpu();
    }
}
