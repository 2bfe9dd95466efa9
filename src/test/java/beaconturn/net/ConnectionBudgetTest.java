package beaconturn.net;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ConnectionBudgetTest {
  /** Measured under load, without heap and threads for connections. */
  private static final int JVM_MB = 49;

  /** Heap that a command takes, with a small response. */
  private static final long COMMAND_BYTES = 6 * 1024;

  /**
   * All connections together must exceed neither the descriptors nor the memory for their threads.
   */
  @ParameterizedTest
  @CsvSource({"1024, 192", "1024, 128", "1024, 96", "256, 192", "64, 64", "256, 32", "4096, 2048"})
  void staysWithinDescriptorAndMemoryLimits(int sockets, int memoryMb) {
    assertWithinLimits(sockets, memoryMb, ConnectionBudget.of(sockets, memoryMb, "amd64"), 45);
    assertWithinLimits(sockets, memoryMb, ConnectionBudget.of(sockets, memoryMb, "aarch64"), 101);
  }

  private static void assertWithinLimits(
      int sockets, int memoryMb, ConnectionBudget budget, int threadKb) {
    assertTrue(budget.clients() > 0 && budget.cacheConnections() > 0);
    int closing = 1 + budget.clients() / 16;
    assertTrue(budget.clients() + closing + budget.cacheConnections() < sockets - 20);
    int heapMb = Math.max(16, Math.min(64, memoryMb * 3 / 10));
    int memoryForThreadsMb = memoryMb - heapMb - JVM_MB;
    assertTrue(budget.cacheConnections() <= Math.max(64, memoryForThreadsMb * 1024 / threadKb));
    assertTrue(2 * 66 * budget.largeRequests() <= heapMb * 1024);
    long limitedBytes =
        budget.largeRequestBytes()
            + budget.waitingResponseBytes()
            + budget.receivedResponseBytes()
            + COMMAND_BYTES * budget.commandsInFlight();
    assertTrue(limitedBytes <= heapMb * 1024L * 1024 * 9 / 10, limitedBytes + " bytes");
  }
}
