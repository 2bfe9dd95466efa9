package beaconturn.rehearsal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beaconturn.net.TestPeer;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Cache servers that write or read slowly, with a router in a process of its own. */
@Timeout(60)
class SlowCacheServerTest {
  private static final int MEMORY_MB = 192;
  private static final int PIECES = 30;
  private static final String PIECE = "v".repeat(10_000);
  private static final long PIECE_INTERVAL_MILLIS = 100;
  private static final long WAIT_MILLIS = 800;

  /** Time after the end of a client's wait within which it must have its final answer. */
  private static final long ANSWER_SLACK_MILLIS = 500;

  @TempDir private Path folder;
  private final CountDownLatch finished = new CountDownLatch(1);

  /** A value that takes 3 s, more than three times the client's wait, is not cut off. */
  @Test
  void valueThatIsWrittenSlowlyIsForwardedWhole() throws Exception {
    try (TestPeer server =
            new TestPeer(
                connection -> {
                  if (connection.readCommand().equals("end")) {
                    return;
                  }
                  connection.write("*3\r\n$" + PIECES * PIECE.length() + "\r\n");
                  for (int i = 0; i < PIECES; i++) {
                    connection.write(PIECE);
                    finished.await(PIECE_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
                  }
                  connection.write("\r\n$-1\r\n$-1\r\n");
                });
        RouterInProcess router =
            new RouterInProcess(folder, MEMORY_MB, List.of(server.dialAddress()));
        TestPeer.Connection client = router.connect()) {
      client.write(
          "*4\r\n$5\r\nC.GET\r\n$1\r\na\r\n$2\r\nid\r\n$12\r\nc=read,d=" + WAIT_MILLIS + "\r\n");
      client.write("*1\r\n$4\r\nPING\r\n");
      String head = "$" + PIECES * PIECE.length() + "\r\n";
      String expected = head + PIECE.repeat(PIECES) + "\r\n+PONG\r\n";
      assertEquals(expected, client.readBytes(expected.length()));
    }
  }

  /** A server that reads nothing of a long write must not delay its final answer. */
  @Test
  void writeThatIsNotReadIsAnsweredInTime() throws Exception {
    try (TestPeer server = new TestPeer(connection -> finished.await());
        RouterInProcess router =
            new RouterInProcess(folder, MEMORY_MB, List.of(server.dialAddress()));
        TestPeer.Connection client = router.connect()) {
      String value = "v".repeat(1 << 16);
      long sentAtNanos = System.nanoTime();
      client.write(
          "*5\r\n$5\r\nC.SET\r\n$1\r\na\r\n$2\r\nid\r\n$11\r\nc=ack,d="
              + WAIT_MILLIS
              + "\r\n$65536\r\n"
              + value
              + "\r\n");
      String response = client.readResponse();
      long tookMillis = (System.nanoTime() - sentAtNanos) / 1_000_000;
      assertTrue(response.startsWith("-"), response);
      assertTrue(tookMillis < WAIT_MILLIS + ANSWER_SLACK_MILLIS, tookMillis + " ms");
    } finally {
      finished.countDown();
    }
  }
}
