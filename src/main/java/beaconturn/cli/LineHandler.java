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
 * Writes each record as a line, on a thread of its own: whoever reads the log slowly must not hold
 * up the thread that speaks, least of all the routing thread. What does not fit is counted and said
 * later.
 */
final class LineHandler extends Handler {
  private static final int MOST_LINES = 1024;
  private static final long LONGEST_FLUSH_MILLIS = 300;
  private static final long STEP_MILLIS = 2;

  private final PrintStream out;
  private final Mailbox<String> lines = new Mailbox<>(MOST_LINES);
  private final AtomicInteger waiting = new AtomicInteger();
  private final AtomicInteger dropped = new AtomicInteger();
  private final Formatter formatter = new Line();

  LineHandler(PrintStream out) {
    this.out = out;
    Thread writer = new Thread(this::write, "log");
    writer.setDaemon(true);
    writer.start();
  }

  @Override
  public void publish(LogRecord record) {
    if (!isLoggable(record)) {
      return;
    }
    waiting.incrementAndGet();
    if (!lines.offer(formatter.format(record))) {
      waiting.decrementAndGet();
      dropped.incrementAndGet();
    }
  }

  /** Waits until all lines so far are written, or a short time. */
  @Override
  public void flush() {
    try {
      for (long i = 0; waiting.get() > 0 && i < LONGEST_FLUSH_MILLIS; i += STEP_MILLIS) {
        Thread.sleep(STEP_MILLIS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void close() {
    flush();
  }

  private void write() {
    try {
      while (true) {
        out.print(lines.take());
        out.flush();
        waiting.decrementAndGet();
        int lost = dropped.getAndSet(0);
        if (lost > 0) {
          out.print("log: " + lost + " lines left out, the log is read too slowly\n");
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Time, level, the class that speaks, and its text. */
  private static final class Line extends Formatter {
    @Override
    public String format(LogRecord record) {
      String name = record.getLoggerName();
      StringWriter text = new StringWriter();
      text.write(
          Instant.ofEpochMilli(record.getMillis())
              + " "
              + record.getLevel()
              + " "
              + name.substring(name.lastIndexOf('.') + 1)
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
