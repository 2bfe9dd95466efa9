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
  private final RepeatedEventLog spell = new RepeatedEventLog(log, "it rains", 3);

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

  /** A line for each request would fill the log just when it is read. */
  @Test
  void oneLineWhenItBeginsAndOneWhenItIsOver() {
    for (int i = 0; i < 100; i++) {
      spell.note(i * SECOND / 10);
    }
    spell.check(15 * SECOND);
    spell.check(20 * SECOND);
    spell.check(40 * SECOND);
    assertEquals(
        List.of("it rains: begins, 3 times in 200 ms", "it rains: over, 100 times in 9900 ms"),
        lines);
  }

  @Test
  void whatHappensSeldomIsNotLogged() {
    for (int i = 0; i < 10; i++) {
      spell.note(i * 11L * SECOND);
    }
    spell.end();
    assertEquals(List.of(), lines);
  }
}
