package beaconturn.net.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beaconturn.core.RequestDescription;
import beaconturn.net.server.CacheServerTest;
import beaconturn.protocol.RespValue;
import beaconturn.protocol.Slice;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** What is said of clients' connections, and that a flood of lines hides no lost answer. */
class ClientEventLogTest {
  private static final long SECOND = 1_000_000_000;
  private final Logger log = Logger.getLogger(ClientEventLog.class.getName());
  private final List<LogRecord> lines = new ArrayList<>();
  private final ClientEventLog events = new ClientEventLog();
  private final Handler kept =
      new Handler() {
        @Override
        public void publish(LogRecord line) {
          lines.add(line);
        }

        @Override
        public void flush() {}

        @Override
        public void close() {}
      };

  @BeforeEach
  void listen() {
    log.addHandler(kept);
  }

  @AfterEach
  void leave() {
    log.removeHandler(kept);
  }

  @Test
  void aFloodOfRejectionsIsBoundedAndSaysWhatWasLeftOut() {
    for (int i = 0; i < 1000; i++) {
      events.rejected(7, command("C.GET", "key", "id" + i), "odd", SECOND);
    }
    assertEquals(20, lines.size());
    assertEquals("connection 7: command id0 rejected: odd", lines.get(0).getMessage());
    events.rejected(8, command("C.GET"), "no name", 2 * SECOND);
    assertEquals(
        "connection 8: command without an id rejected: no name (980 such lines left out before)",
        lines.get(20).getMessage());
  }

  @Test
  void aConnectionThatEndsOverOwedAnswersIsAlwaysNamedWithTheirIds() {
    for (int i = 0; i < 1000; i++) {
      events.ended(i, EndReason.MAKES_ROOM, List.of(), 0, SECOND);
    }
    int before = lines.size();
    events.ended(1001, EndReason.MALFORMED, List.of(call("a1"), call("b2")), 3, SECOND);
    assertEquals(before + 1, lines.size());
    assertEquals(Level.WARNING, lines.get(before).getLevel());
    String said = lines.get(before).getMessage();
    assertTrue(
        said.contains("1001 ends with 3 answers owed: malformed input") && said.endsWith("a1 b2"),
        said);
  }

  /** Who leaves knows that nothing will come. */
  @Test
  void aClientThatLeavesOrIsIdleIsNotWorthALine() {
    events.ended(1, EndReason.CLIENT_LEFT, List.of(call("a1")), 1, SECOND);
    events.ended(2, EndReason.IDLE, List.of(), 0, SECOND);
    assertEquals(List.of(), lines);
  }

  private static RespValue command(String... words) {
    return new RespValue.Array(
        Slice.of(""),
        Stream.of(words)
            .map(word -> (RespValue) new RespValue.Bulk(Slice.of(""), Slice.of(word)))
            .toList());
  }

  private static RespClientRequest call(String id) {
    return new RespClientRequest(
        new RequestDescription(0, 1, false, false, 0, 0, 0),
        SECOND,
        new RequestParser.Parts(Slice.of(id), Slice.of(id), Map.of(), null),
        CacheServerTest.READING,
        () -> {});
  }
}
