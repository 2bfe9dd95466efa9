package beaconturn.cli;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.time.Instant;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/** The log: a line a record on standard error, to the very end of a planned stop. */
final class Logs {
    private static final String MANAGER = "beaconturn.cli.LastingLogManager";

    private Logs() {
    }

    /** Installs the log; called before the first logger is made. */
    static void start() {
        System.setProperty("java.util.logging.manager", MANAGER);
        Logger root = LogManager.getLogManager().getLogger("");
        for (Handler handler : root.getHandlers()) {
            root.removeHandler(handler);
        }
        root.addHandler(new Lines());
    }

    /** Lets the log manager end; nothing is logged after it. */
    static void finish() {
        if (LogManager.getLogManager() instanceof LastingLogManager manager) {
            manager.finish();
        }
    }

    /** Writes each record at once, so that nothing is lost when the process is killed. */
    private static final class Lines extends Handler {
        private final Formatter formatter = new Line();

        @Override
        public void publish(LogRecord record) {
            if (isLoggable(record)) {
                System.err.print(formatter.format(record));
            }
        }

        @Override
        public void flush() {
            System.err.flush();
        }

        @Override
        public void close() {
            flush();
        }
    }

    /** Time, level, the class that speaks, and its text. */
    private static final class Line extends Formatter {
        @Override
        public String format(LogRecord record) {
            String name = record.getLoggerName();
            StringWriter out = new StringWriter();
            out.write(Instant.ofEpochMilli(record.getMillis()) + " " + record.getLevel() + " "
                + name.substring(name.lastIndexOf('.') + 1) + ": " + formatMessage(record) + "\n");
            if (record.getThrown() != null) {
                record.getThrown().printStackTrace(new PrintWriter(out, true));
            }
            return out.toString();
        }
    }
}
