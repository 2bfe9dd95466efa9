package beaconturn.rehearsal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beaconturn.net.TestPeer;
import beaconturn.protocol.ProtocolException;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** No attempt begins after its client has left, on a router in a process of its own. */
@Timeout(60)
class DisconnectedClientsTest {
  private static final int MEMORY_MB = 192;
  private static final int CACHE_SERVERS = 4;

  /** Time after the close of its client within which an attempt may still begin. */
  private static final long ALLOWED_NANOS = 100_000_000;

  /** For how long a cache server keeps a request before it turns it away. */
  private static final long SERVICE_MILLIS = 350;

  /** The longest wait of a client; no attempt begins later. */
  private static final long WAIT_MILLIS = 1200;

  @TempDir private Path folder;
  private final Collection<Attempt> attempts = new LinkedBlockingQueue<>();
  private final Map<String, Long> disconnectedAtNanos = new ConcurrentHashMap<>();
  private final CountDownLatch finished = new CountDownLatch(1);
  private final List<TestPeer> cacheServers = new ArrayList<>();

  private record Attempt(String id, long receivedAtNanos) {}

  @AfterEach
  void stopCacheServers() {
    finished.countDown();
    cacheServers.forEach(TestPeer::close);
  }

  private RouterInProcess startRouter() throws Exception {
    for (int i = 0; i < CACHE_SERVERS; i++) {
      cacheServers.add(new TestPeer(this::turnAway));
    }
    return new RouterInProcess(folder, MEMORY_MB, cacheServers);
  }

  /** Takes each request for a while and then turns it away, so that the router tries again. */
  private void turnAway(TestPeer.Connection connection)
      throws IOException, ProtocolException, InterruptedException {
    String command = connection.readCommand();
    while (!command.equals("end")) {
      attempts.add(new Attempt(command.split(" ")[2], System.nanoTime()));
      if (finished.await(SERVICE_MILLIS, TimeUnit.MILLISECONDS)) {
        return;
      }
      connection.write("-BUSY\r\n");
      command = connection.readCommand();
    }
  }

  private static String read(String id) {
    return command("C.GET", "key-" + id, id, "c=read,d=" + WAIT_MILLIS);
  }

  private static String command(String... words) {
    StringBuilder out = new StringBuilder("*" + words.length + "\r\n");
    for (String word : words) {
      out.append('$').append(word.length()).append("\r\n").append(word).append("\r\n");
    }
    return out.toString();
  }

  private static String reads(String prefix, int count) {
    StringBuilder out = new StringBuilder();
    for (int i = 0; i < count; i++) {
      out.append(read(prefix + i));
    }
    return out.toString();
  }

  /** Writes the input, keeps the connection for that time and closes it. */
  private void leave(RouterInProcess router, String prefix, String input, long staysMillis)
      throws Exception {
    TestPeer.Connection client = router.connect();
    client.write(input);
    finished.await(staysMillis, TimeUnit.MILLISECONDS);
    client.close();
    disconnectedAtNanos.put(prefix, System.nanoTime());
  }

  /** Waits until no request of the clients can be sent any more; returns those sent too late. */
  private List<String> attemptsBegunLate() throws InterruptedException {
    finished.await(WAIT_MILLIS + SERVICE_MILLIS, TimeUnit.MILLISECONDS);
    List<String> late = new ArrayList<>();
    for (Attempt attempt : attempts) {
      Long closedAtNanos = disconnectedAtNanos.get(attempt.id().replaceAll("-.*", "-"));
      long afterNanos = attempt.receivedAtNanos() - closedAtNanos;
      if (afterNanos > ALLOWED_NANOS) {
        late.add(attempt.id() + " " + afterNanos / 1_000_000 + " ms after the close");
      }
    }
    return late;
  }

  private void assertNoAttemptBegunLate(RouterInProcess router) throws Exception {
    List<String> late = attemptsBegunLate();
    List<String> disconnects =
        router.log().lines().filter(line -> line.contains("client disconnected with")).toList();
    assertEquals(List.of(), late, disconnects::toString);
  }

  @Test
  void requestsOfClientThatLeftMuchUnreadAreNotSent() throws Exception {
    try (RouterInProcess router = startRouter()) {
      leave(router, "a-", reads("a-", 400), 80);
      assertNoAttemptBegunLate(router);
      assertTrue(attempts.size() > 10, "only " + attempts.size() + " attempts");
    }
  }
}
