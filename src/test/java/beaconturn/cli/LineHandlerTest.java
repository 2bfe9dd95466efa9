package beaconturn.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

class LineHandlerTest {
  private static LogRecord record(String text) {
    LogRecord record = new LogRecord(Level.INFO, text);
    record.setLoggerName("beaconturn.core.Some");
    return record;
  }

  @Test
  void writesOneLinePerRecordBeforeCloseReturns() {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    LineHandler handler = new LineHandler(new PrintStream(out, true));
    handler.publish(record("one"));
    handler.publish(record("two"));
    handler.close();
    String[] lines = out.toString(StandardCharsets.UTF_8).split("\n");
    assertEquals(2, lines.length);
    assertTrue(lines[0].endsWith(" INFO Some: one"), lines[0]);
    assertTrue(lines[1].endsWith(" INFO Some: two"), lines[1]);
  }

  /** The routing thread logs too, so a log that is not read must not block it. */
  @Test
  @Timeout(60)
  void publishDoesNotBlockWhileOutputIsBlocked() {
    CountDownLatch outputUnblocked = new CountDownLatch(1);
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    LineHandler handler =
        new LineHandler(
            new PrintStream(
                new OutputStream() {
                  @Override
                  public void write(int b) {
                    try {
                      outputUnblocked.await();
                      out.write(b);
                    } catch (InterruptedException e) {
                      Thread.currentThread().interrupt();
                    }
                  }
                }));
    for (int i = 0; i < 5000; i++) {
      handler.publish(record("line " + i));
    }
    outputUnblocked.countDown();
    while (!out.toString(StandardCharsets.UTF_8).contains("lines left out")) {
      Thread.onSpinWait();
    }
    assertTrue(out.toString(StandardCharsets.UTF_8).contains("Some: line 0\n"));
  }
}
