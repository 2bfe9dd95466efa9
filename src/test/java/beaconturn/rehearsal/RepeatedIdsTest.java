package beaconturn.rehearsal;

import static org.junit.jupiter.api.Assertions.assertEquals;

import beaconturn.net.TestPeer;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** An id of a request that may not be repeated is executed once, whoever sends it again. */
@Timeout(60)
class RepeatedIdsTest {
  private static final int MEMORY_MB = 192;
  private static final long SERVICE_MILLIS = 700;
  private static final long CLIENT_STAYS_MILLIS = 100;
  private static final String RECEIPT = "*3\r\n$2\r\nok\r\n$-1\r\n$-1\r\n";
  private static final String WRITE =
      "*5\r\n$5\r\nC.SET\r\n$3\r\nkey\r\n$4\r\nid-1\r\n$12\r\nc=ack,d=1500\r\n$1\r\nv\r\n";
  private static final String REJECTION = "-ERR a request of this id may have been executed";

  @TempDir private Path folder;

  @Test
  void writeOfClientThatLeftIsNotExecutedAgain() throws Exception {
    try (SlowCacheServers servers = new SlowCacheServers(3, RECEIPT, SERVICE_MILLIS);
        RouterInProcess router = new RouterInProcess(folder, MEMORY_MB, servers.dialAddresses())) {
      TestPeer.Connection first = router.connect();
      first.write(WRITE);
      TestPeer.until(() -> servers.arrivals().size() == 1);
      new CountDownLatch(1).await(CLIENT_STAYS_MILLIS, TimeUnit.MILLISECONDS);
      first.close();
      TestPeer.until(() -> router.log().contains("client disconnected with 1 unanswered"));
      try (TestPeer.Connection second = router.connect()) {
        second.write(WRITE);
        assertEquals(REJECTION, second.readResponse());
      }
      assertEquals(1, servers.arrivals().size());
    }
  }

  @Test
  void writeThatWasAnsweredIsNotExecutedAgain() throws Exception {
    try (SlowCacheServers servers = new SlowCacheServers(3, RECEIPT, 1);
        RouterInProcess router = new RouterInProcess(folder, MEMORY_MB, servers.dialAddresses());
        TestPeer.Connection client = router.connect()) {
      client.write(WRITE);
      assertEquals("$2\r\nok", client.readResponse());
      client.write(WRITE);
      assertEquals(REJECTION, client.readResponse());
      assertEquals(1, servers.arrivals().size());
    }
  }
}
