package beaconturn.core;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/** What a logger is told, line by line. */
public final class LogLines extends Handler {
    /** The lines so far. */
    public final List<String> lines = new CopyOnWriteArrayList<>();

    /** Listens to the logger, which tells nobody else from then on. */
    public static LogLines of(Logger log) {
        LogLines handler = new LogLines();
        log.setUseParentHandlers(false);
        log.addHandler(handler);
        return handler;
    }

    @Override
    public void publish(LogRecord record) {
        lines.add(record.getMessage());
    }

    @Override
    public void flush() {
        lines.add("flushed");
    }

    @Override
    public void close() {
        lines.add("closed");
    }
}
