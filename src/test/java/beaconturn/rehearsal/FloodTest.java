package beaconturn.rehearsal;

import static org.junit.jupiter.api.Assertions.assertTrue;

import beaconturn.net.TestPeer;
import beaconturn.net.io.Threads;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Clients that send commands at full speed, with a router in a process of its own. */
@Timeout(60)
class FloodTest {
  private static final int MEMORY_MB = 192;
  private static final int FLOODING_CLIENTS = 6;
  private static final int COMMANDS_PER_WRITE = 200;
  private static final int USUAL_READS = 400;
  private static final int CROWD = 100;
  private static final int READS_BESIDE_CROWD = 40;
  private static final long WAIT_MILLIS = 1000;

  /** A tenth of the latency objective of a read; the cache servers take 5 ms. */
  private static final long USUAL_READ_MILLIS = 60;

  private static final String RESPONSE = "*3\r\n$2\r\nva\r\n$3\r\nhit\r\n$-1\r\n";

  @TempDir private Path folder;
  private final AtomicBoolean finished = new AtomicBoolean();

  /** What the clients send, with ever new names. */
  private enum Flood {
    PINGS {
      @Override
      String command(long number) {
        return "*1\r\n$4\r\nPING\r\n";
      }
    },
    UNKNOWN_COMMANDS {
      @Override
      String command(long number) {
        return "*1\r\n$16\r\n" + hex(number) + "\r\n";
      }
    },
    UNKNOWN_CLASSES {
      @Override
      String command(long number) {
        return get(number, hex(number), 999);
      }
    },
    DEADLINES_OF_A_MILLISECOND {
      @Override
      String command(long number) {
        return get(number, "read", 1);
      }
    };

    abstract String command(long number);

    private static String hex(long number) {
      return String.format("%016x", number);
    }

    private static String get(long number, String requestClass, int waitMillis) {
      String attributes = "c=" + requestClass + ",d=" + waitMillis;
      return "*4\r\n$5\r\nC.GET\r\n$16\r\n"
          + hex(number)
          + "\r\n$16\r\n"
          + hex(number)
          + "\r\n$"
          + attributes.length()
          + "\r\n"
          + attributes
          + "\r\n";
    }
  }

  private void flood(TestPeer.Connection connection, Flood flood, long firstNumber) {
    try {
      for (long number = firstNumber; !finished.get(); number += COMMANDS_PER_WRITE) {
        StringBuilder commands = new StringBuilder();
        for (int i = 0; i < COMMANDS_PER_WRITE; i++) {
          commands.append(flood.command(number + i));
        }
        connection.write(commands.toString());
      }
    } catch (IOException e) {
      // The connection has ended.
      return;
    }
  }

  private void readResponses(TestPeer.Connection connection) {
    try {
      connection.readRemaining();
    } catch (IOException e) {
      // The connection has ended.
      return;
    }
  }

  /** The longest time in which a usual client had its response. */
  private static long longestMillis(RouterInProcess router, int reads) throws Exception {
    long longestNanos = 0;
    try (TestPeer.Connection usual = router.connect()) {
      for (int i = 0; i < reads; i++) {
        long startNanos = System.nanoTime();
        usual.write(Flood.get(i, "read", (int) WAIT_MILLIS).replace("\r\n0", "\r\nu"));
        usual.readResponse();
        longestNanos = Math.max(longestNanos, System.nanoTime() - startNanos);
      }
    }
    return longestNanos / 1_000_000;
  }

  @ParameterizedTest
  @EnumSource(Flood.class)
  void clientsAtFullSpeedDelayNoOther(Flood flood) throws Exception {
    play(flood, FLOODING_CLIENTS, USUAL_READS);
  }

  @Test
  void crowdThatPingsAtFullSpeedDelaysNoOther() throws Exception {
    play(Flood.PINGS, CROWD, READS_BESIDE_CROWD);
  }

  private void play(Flood flood, int clients, int reads) throws Exception {
    List<TestPeer.Connection> flooding = new ArrayList<>();
    try (SlowCacheServers servers = new SlowCacheServers(4, RESPONSE, 5);
        RouterInProcess router = new RouterInProcess(folder, MEMORY_MB, servers.dialAddresses())) {
      for (int i = 0; i < clients; i++) {
        TestPeer.Connection connection = router.connect();
        flooding.add(connection);
        long firstNumber = (long) i << 40;
        Threads.start("test-flood", () -> flood(connection, flood, firstNumber));
        Threads.start("test-flood-reads", () -> readResponses(connection));
      }
      long startNanos = System.nanoTime();
      long longestMillis = longestMillis(router, reads);
      long allMillis = (System.nanoTime() - startNanos) / 1_000_000;
      finished.set(true);
      assertTrue(allMillis < reads * USUAL_READ_MILLIS, allMillis + " ms for all reads");
      assertTrue(longestMillis < WAIT_MILLIS, longestMillis + " ms");
      assertTrue(router.process().isAlive());
    } finally {
      finished.set(true);
      flooding.forEach(TestPeer.Connection::close);
    }
  }
}
