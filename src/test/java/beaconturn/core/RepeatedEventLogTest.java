package beaconturn.core;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.junit.jupiter.api.Test;

class RepeatedEventLogTest {
  private static final long SECOND = 1_000_000_000;
  private final List<String> lines = new ArrayList<>();
  private final Logger log = Logger.getAnonymousLogger();
  private final RepeatedEventLog events = new RepeatedEventLog(log, "disk full", 3);

  RepeatedEventLogTest() {
    log.setUseParentHandlers(false);
    log.addHandler(
        new Handler() {
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
        });
  }

  /** A line for each event would flood the log during an incident. */
  @Test
  void logsOneLineAtStartAndOneAtEndOfSeries() {
    for (int i = 0; i < 100; i++) {
      events.note(i * SECOND / 10);
    }
    events.check(15 * SECOND);
    events.check(20 * SECOND);
    events.check(40 * SECOND);
    assertEquals(
        List.of("disk full: started, 3 times in 200 ms", "disk full: ended, 100 times in 9900 ms"),
        lines);
  }

  @Test
  void ignoresInfrequentEvents() {
    for (int i = 0; i < 10; i++) {
      events.note(i * 11L * SECOND);
    }
    events.end();
    assertEquals(List.of(), lines);
  }
}
