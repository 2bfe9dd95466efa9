package beaconturn.rehearsal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beaconturn.net.TestPeer;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** No attempt begins after its client has left, on a router in a process of its own. */
@Timeout(60)
class DisconnectedClientsTest {
  private static final int MEMORY_MB = 192;
  private static final int CACHE_SERVERS = 4;

  /** Time after the close of its client within which an attempt may still begin. */
  private static final long ALLOWED_NANOS = 100_000_000;

  /** For how long a cache server keeps a request before it turns it away, so that it is retried. */
  private static final long SERVICE_MILLIS = 350;

  /** The longest wait of a client; no attempt begins later. */
  private static final long WAIT_MILLIS = 1200;

  private static final int SEVERAL_CLIENTS = 5;
  private static final int FEW_READS = 3;

  /** More than the router reads ahead. */
  private static final int MANY_READS = 400;

  @TempDir private Path folder;
  private final Map<String, Long> disconnectedAtNanos = new ConcurrentHashMap<>();
  private final CountDownLatch finished = new CountDownLatch(1);
  private SlowCacheServers cacheServers;

  @BeforeEach
  void startCacheServers() throws IOException {
    cacheServers = new SlowCacheServers(CACHE_SERVERS, "-BUSY\r\n", SERVICE_MILLIS);
  }

  @AfterEach
  void stopCacheServers() {
    cacheServers.close();
  }

  private RouterInProcess startRouter() throws Exception {
    return new RouterInProcess(folder, MEMORY_MB, cacheServers.dialAddresses());
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
    for (SlowCacheServers.Arrival attempt : cacheServers.arrivals()) {
      Long closedAtNanos = disconnectedAtNanos.get(attempt.id().replaceAll("-.*", "-"));
      long afterNanos = attempt.atNanos() - closedAtNanos;
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
      assertTrue(cacheServers.arrivals().size() > 10);
    }
  }

  /** Inputs that fill the read-ahead of a connection in different ways. */
  private enum Input {
    THOUSANDS_OF_READS(100) {
      @Override
      String text(String prefix) {
        return reads(prefix, 4000);
      }
    },
    READS_AND_CLOSE_AT_ONCE(0) {
      @Override
      String text(String prefix) {
        return reads(prefix, 400);
      }
    },
    LONG_WRITES_BEHIND_READS(80) {
      @Override
      String text(String prefix) {
        return reads(prefix, 33)
            + write(prefix + "w1", LONG_VALUE_BYTES)
            + write(prefix + "w2", LONG_VALUE_BYTES)
            + write(prefix + "w3", LONG_VALUE_BYTES);
      }
    },
    INVALID_COMMANDS_BETWEEN_READS(80) {
      @Override
      String text(String prefix) {
        String invalid = command("C.GET", "key", "id", "c=nobody,d=1000").repeat(600);
        return reads(prefix, 20) + invalid + reads(prefix + "later", 20);
      }
    },
    BYTES_BEHIND_A_PROTOCOL_ERROR(80) {
      @Override
      String text(String prefix) {
        return reads(prefix, 30) + "!" + "x".repeat(200_000);
      }
    };

    private static final int LONG_VALUE_BYTES = 60_000;
    private final long staysMillis;

    Input(long staysMillis) {
      this.staysMillis = staysMillis;
    }

    abstract String text(String prefix);
  }

  private static String write(String id, int valueBytes) {
    return command("C.SET", "key-" + id, id, "c=ack,d=" + WAIT_MILLIS, "v".repeat(valueBytes));
  }

  @ParameterizedTest
  @EnumSource(Input.class)
  void requestsOfClientThatLeftAreNotSent(Input input) throws Exception {
    try (RouterInProcess router = startRouter()) {
      leave(router, "a-", input.text("a-"), input.staysMillis);
      assertNoAttemptBegunLate(router);
      assertTrue(cacheServers.arrivals().size() > 2);
    }
  }

  private List<TestPeer.Connection> connectSeveral(RouterInProcess router, int readsEach)
      throws Exception {
    List<TestPeer.Connection> clients = new ArrayList<>();
    for (int i = 0; i < SEVERAL_CLIENTS; i++) {
      clients.add(router.connect());
      clients.get(i).write(reads("c" + i + "-", readsEach));
    }
    return clients;
  }

  private void closeAll(List<TestPeer.Connection> clients) {
    for (int i = 0; i < clients.size(); i++) {
      clients.get(i).close();
      disconnectedAtNanos.put("c" + i + "-", System.nanoTime());
    }
  }

  @Test
  void requestsOfSeveralClientsThatLeftAtOnceAreNotSent() throws Exception {
    try (RouterInProcess router = startRouter()) {
      List<TestPeer.Connection> clients = connectSeveral(router, MANY_READS);
      finished.await(80, TimeUnit.MILLISECONDS);
      closeAll(clients);
      assertNoAttemptBegunLate(router);
      assertTrue(cacheServers.arrivals().size() > 10);
    }
  }

  /** After the process was stopped, its threads go on in any order. */
  @Test
  void requestsOfClientsThatLeftWhileTheRouterWasStoppedAreNotSent() throws Exception {
    try (RouterInProcess router = startRouter()) {
      List<TestPeer.Connection> clients = connectSeveral(router, FEW_READS);
      TestPeer.until(() -> cacheServers.arrivals().size() >= SEVERAL_CLIENTS * FEW_READS);
      router.process().setPaused(true);
      closeAll(clients);
      finished.await(2 * SERVICE_MILLIS, TimeUnit.MILLISECONDS);
      router.process().setPaused(false);
      assertNoAttemptBegunLate(router);
    }
  }

  /** The kernel accepts connections while the process is stopped, and all that they send. */
  @Test
  void requestsOfClientsThatCameAndLeftWhileTheRouterWasStoppedAreNotSent() throws Exception {
    try (RouterInProcess router = startRouter()) {
      router.process().setPaused(true);
      for (int i = 0; i < SEVERAL_CLIENTS; i++) {
        leave(router, "c" + i + "-", reads("c" + i + "-", MANY_READS), 0);
      }
      finished.await(2 * SERVICE_MILLIS, TimeUnit.MILLISECONDS);
      router.process().setPaused(false);
      assertNoAttemptBegunLate(router);
    }
  }
}
