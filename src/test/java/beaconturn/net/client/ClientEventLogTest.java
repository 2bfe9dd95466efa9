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

/** Log lines about client connections; rate limiting must not hide lost responses. */
class ClientEventLogTest {
  private static final long SECOND_NANOS = 1_000_000_000;
  private final Logger log = Logger.getLogger(ClientEventLog.class.getName());
  private final List<LogRecord> lines = new ArrayList<>();
  private final ClientEventLog events = new ClientEventLog();
  private final Handler recordingHandler =
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
  void addLogHandler() {
    log.addHandler(recordingHandler);
  }

  @AfterEach
  void removeLogHandler() {
    log.removeHandler(recordingHandler);
  }

  @Test
  void rateLimitsRejectionsAndCountsOmittedLines() {
    for (int i = 0; i < 1000; i++) {
      events.rejected(7, command("C.GET", "key", "id" + i), "odd", SECOND_NANOS);
    }
    assertEquals(20, lines.size());
    assertEquals("connection 7: command id0 rejected: odd", lines.get(0).getMessage());
    events.rejected(8, command("C.GET"), "no name", 2 * SECOND_NANOS);
    assertEquals(
        "connection 8: command without an id rejected: no name (980 such lines left out before)",
        lines.get(20).getMessage());
  }

  @Test
  void alwaysLogsCloseWithOutstandingResponses() {
    for (int i = 0; i < 1000; i++) {
      events.closed(i, CloseReason.EVICTED, List.of(), 0, SECOND_NANOS);
    }
    int before = lines.size();
    events.closed(
        1001, CloseReason.PROTOCOL_ERROR, List.of(request("a1"), request("b2")), 3, SECOND_NANOS);
    assertEquals(before + 1, lines.size());
    assertEquals(Level.WARNING, lines.get(before).getLevel());
    String message = lines.get(before).getMessage();
    assertTrue(
        message.contains("1001 closes with 3 responses outstanding: protocol error")
            && message.endsWith("a1 b2"),
        message);
  }

  @Test
  void doesNotLogDisconnectOrIdleTimeout() {
    events.closed(1, CloseReason.CLIENT_DISCONNECTED, List.of(request("a1")), 1, SECOND_NANOS);
    events.closed(2, CloseReason.IDLE_TIMEOUT, List.of(), 0, SECOND_NANOS);
    assertEquals(List.of(), lines);
  }

  @Test
  void logsDisconnectWithUnansweredRequestsAndUnreadInput() {
    events.clientDisconnected(
        3, List.of(request("a1"), request("b2")), 16_384, SECOND_NANOS / 2, SECOND_NANOS);
    assertEquals(
        "connection 3: client disconnected with 2 unanswered requests, 16384 bytes unprocessed,"
            + " input left unread for 500 ms; first requests: a1 b2",
        lines.get(0).getMessage());
  }

  private static RespValue command(String... words) {
    return new RespValue.Array(
        Slice.of(""),
        Stream.of(words)
            .map(word -> (RespValue) new RespValue.Bulk(Slice.of(""), Slice.of(word)))
            .toList());
  }

  private static RespClientRequest request(String id) {
    return new RespClientRequest(
        new RequestDescription(0, 1, false, false, 0, 0, 0),
        SECOND_NANOS,
        new RequestParser.Parts(Slice.of(id), Slice.of(id), Map.of(), null),
        CacheServerTest.READING,
        () -> {});
  }
}
