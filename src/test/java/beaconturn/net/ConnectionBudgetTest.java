package beaconturn.net;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ConnectionBudgetTest {
  /**
   * With all connections in use neither the descriptors nor the memory of a thread each may run
   * out.
   */
  @ParameterizedTest
  @CsvSource({"1024, 192", "1024, 128", "256, 192", "64, 64", "256, 32", "4096, 2048"})
  void allConnectionsTogetherStayWithinTheLimits(int sockets, int memoryMb) {
    ConnectionBudget capacity = ConnectionBudget.of(sockets, memoryMb);
    assertTrue(capacity.clients() > 0 && capacity.cacheConnections() > 0);
    int ending = 1 + capacity.clients() / 16;
    assertTrue(capacity.clients() + ending + capacity.cacheConnections() < sockets - 20);
    int left = memoryMb - memoryMb * 3 / 10 - 40;
    assertTrue(capacity.cacheConnections() <= Math.max(64, left * 1024 / 45));
    assertTrue(2 * 66 * capacity.largeRequests() <= memoryMb * 3 / 10 * 1024);
  }
}
