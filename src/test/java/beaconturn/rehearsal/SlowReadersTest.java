package beaconturn.rehearsal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beaconturn.net.TestPeer;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Hundreds of clients that read nothing, with a router in a process of its own. */
@Timeout(60)
class SlowReadersTest {
  private static final int MEMORY_MB = 192;

  /** With this limit the heap is a small part of the memory. */
  private static final int LARGE_MEMORY_MB = 2048;

  private static final int SLOW_READERS = 300;
  private static final int REQUESTS_EACH = 33;
  private static final int USUAL_REQUESTS = 100;

  /** Received as a whole before it is sent to the client. */
  private static final int BUFFERED_BYTES = 60_000;

  /** Sent to the client while it is received. */
  private static final int STREAMED_BYTES = 300_000;

  private static final int LINE_END_BYTES = 2;
  private static final String RESIDENT = "VmRSS:";

  @TempDir private Path folder;

  private static String read(String id) {
    return "*4\r\n$5\r\nC.GET\r\n$"
        + id.length()
        + "\r\n"
        + id
        + "\r\n$"
        + id.length()
        + "\r\n"
        + id
        + "\r\n$13\r\nc=read,d=1400\r\n";
  }

  private static int residentMb(RouterInProcess router) throws Exception {
    Path status = Path.of("/proc", Long.toString(router.process().pid()), "status");
    String line =
        Files.readAllLines(status).stream().filter(l -> l.startsWith(RESIDENT)).findFirst().get();
    return Integer.parseInt(line.replaceAll("[^0-9]", "")) / 1024;
  }

  private static String response(int valueBytes) {
    return "*3\r\n$" + valueBytes + "\r\n" + "v".repeat(valueBytes) + "\r\n$3\r\nhit\r\n$-1\r\n";
  }

  /** Reads a value or an error to its end; fails if the connection ends before. */
  private static void readResponse(TestPeer.Connection client, int valueBytes) throws Exception {
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n") < 0) {
      head.append(client.readBytes(1));
    }
    if (head.charAt(0) == '$') {
      assertEquals("$" + valueBytes + "\r\n", head.toString());
      client.readBytes(valueBytes + LINE_END_BYTES);
    }
  }

  private static void sendAll(TestPeer.Connection client, int number) throws IOException {
    StringBuilder requests = new StringBuilder();
    for (int i = 0; i < REQUESTS_EACH; i++) {
      requests.append(read("s" + number + "-" + i));
    }
    client.write(requests.toString());
  }

  /** Asserts that each request of a usual client beside them is served, refused or failed. */
  private void answersUsualRequestsBesideSlowReaders(int valueBytes, int memoryMb)
      throws Exception {
    List<TestPeer.Connection> slowReaders = new ArrayList<>();
    try (SlowCacheServers servers = new SlowCacheServers(4, response(valueBytes), 5);
        RouterInProcess router = new RouterInProcess(folder, memoryMb, servers.dialAddresses());
        TestPeer.Connection usual = router.connect()) {
      for (int client = 0; client < SLOW_READERS; client++) {
        TestPeer.Connection connection = router.connect();
        slowReaders.add(connection);
        sendAll(connection, client);
      }
      int mostMb = 0;
      for (int i = 0; i < USUAL_REQUESTS; i++) {
        usual.write(read("u" + i));
        readResponse(usual, valueBytes);
        mostMb = Math.max(mostMb, residentMb(router));
      }
      assertTrue(mostMb < memoryMb, mostMb + " MB");
      assertTrue(router.process().isAlive());
    } finally {
      slowReaders.forEach(TestPeer.Connection::close);
    }
  }

  @Test
  void clientsThatReadNothingCostOthersNeitherMemoryNorAnswers() throws Exception {
    answersUsualRequestsBesideSlowReaders(BUFFERED_BYTES, MEMORY_MB);
  }

  @Test
  void clientsThatReadNothingDoNotFillTheHeapOfLargeMemory() throws Exception {
    answersUsualRequestsBesideSlowReaders(BUFFERED_BYTES, LARGE_MEMORY_MB);
  }

  @Test
  void clientsThatReadNoStreamedResponseCostOthersNoMemory() throws Exception {
    answersUsualRequestsBesideSlowReaders(STREAMED_BYTES, MEMORY_MB);
  }
}
