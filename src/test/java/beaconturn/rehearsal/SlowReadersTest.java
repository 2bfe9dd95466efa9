package beaconturn.rehearsal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beaconturn.net.TestPeer;
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
  private static final int SLOW_READERS = 300;
  private static final int REQUESTS_EACH = 33;
  private static final int VALUE_BYTES = 60_000;
  private static final int USUAL_REQUESTS = 100;
  private static final String RESPONSE =
      "*3\r\n$" + VALUE_BYTES + "\r\n" + "v".repeat(VALUE_BYTES) + "\r\n$3\r\nhit\r\n$-1\r\n";
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

  @Test
  void clientsThatReadNothingCostOthersNeitherMemoryNorAnswers() throws Exception {
    List<TestPeer.Connection> slowReaders = new ArrayList<>();
    try (SlowCacheServers servers = new SlowCacheServers(4, RESPONSE, 5);
        RouterInProcess router = new RouterInProcess(folder, MEMORY_MB, servers.dialAddresses());
        TestPeer.Connection usual = router.connect()) {
      for (int client = 0; client < SLOW_READERS; client++) {
        TestPeer.Connection connection = router.connect();
        slowReaders.add(connection);
        StringBuilder requests = new StringBuilder();
        for (int i = 0; i < REQUESTS_EACH; i++) {
          requests.append(read("s" + client + "-" + i));
        }
        connection.write(requests.toString());
      }
      int answered = 0;
      int mostMb = 0;
      for (int i = 0; i < USUAL_REQUESTS; i++) {
        usual.write(read("u" + i));
        String response = usual.readResponse();
        answered += response.equals("end") ? 0 : 1;
        mostMb = Math.max(mostMb, residentMb(router));
      }
      assertEquals(USUAL_REQUESTS, answered);
      assertTrue(mostMb < MEMORY_MB, mostMb + " MB");
      assertTrue(router.process().isAlive());
    } finally {
      slowReaders.forEach(TestPeer.Connection::close);
    }
  }
}
