package beaconturn.cli;

import beaconturn.core.Mailbox;
import java.io.PrintStream;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.time.Instant;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.LogRecord;

/**
 * Writes each log record as a line, on a thread of its own, so that a slow reader of the log never
 * blocks the routing thread. Lines that do not fit into the queue are dropped, and their number is
 * logged later.
 */
final class LineHandler extends Handler {
  private static final int MAX_QUEUED_LINES = 1024;
  private static final long FLUSH_TIMEOUT_MILLIS = 300;
  private static final long FLUSH_POLL_INTERVAL_MILLIS = 2;

  private final PrintStream out;
  private final Mailbox<String> queue = new Mailbox<>(MAX_QUEUED_LINES);
  private final AtomicInteger unwrittenLines = new AtomicInteger();
  private final AtomicInteger droppedLines = new AtomicInteger();
  private final Formatter formatter = new LineFormatter();

  LineHandler(PrintStream out) {
    this.out = out;
    Thread writer = new Thread(this::writeLines, "log");
    writer.setDaemon(true);
    writer.start();
  }

  @Override
  public void publish(LogRecord record) {
    if (!isLoggable(record)) {
      return;
    }
    unwrittenLines.incrementAndGet();
    if (!queue.offer(formatter.format(record))) {
      unwrittenLines.decrementAndGet();
      droppedLines.incrementAndGet();
    }
  }

  /** Waits until all queued lines are written, at most {@value #FLUSH_TIMEOUT_MILLIS} ms. */
  @Override
  public void flush() {
    try {
      for (long waitedMillis = 0;
          unwrittenLines.get() > 0 && waitedMillis < FLUSH_TIMEOUT_MILLIS;
          waitedMillis += FLUSH_POLL_INTERVAL_MILLIS) {
        Thread.sleep(FLUSH_POLL_INTERVAL_MILLIS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void close() {
    flush();
  }

  private void writeLines() {
    try {
      while (true) {
        out.print(queue.take());
        out.flush();
        unwrittenLines.decrementAndGet();
        int newlyDropped = droppedLines.getAndSet(0);
        if (newlyDropped > 0) {
          out.print("log: " + newlyDropped + " lines left out, the log is read too slowly\n");
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Formats a record as time, level, simple name of the logging class, and message. */
  private static final class LineFormatter extends Formatter {
    @Override
    public String format(LogRecord record) {
      String loggerName = record.getLoggerName();
      StringWriter text = new StringWriter();
      text.write(
          Instant.ofEpochMilli(record.getMillis())
              + " "
              + record.getLevel()
              + " "
              + loggerName.substring(loggerName.lastIndexOf('.') + 1)
              + ": "
              + formatMessage(record)
              + "\n");
      if (record.getThrown() != null) {
        record.getThrown().printStackTrace(new PrintWriter(text, true));
      }
      return text.toString();
    }
  }
}
