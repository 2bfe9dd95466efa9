package beaconturn.net.client;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Reads on for the connections whose clients send more than is kept for them, so that a close by
 * the client is found however much input precedes it. All of them share one budget of bytes for
 * each interval, so that they cannot occupy the poller. Poller thread only.
 */
final class BacklogReader {
  static final long INTERVAL_NANOS = 10_000_000;

  private static final int BYTES_PER_INTERVAL = 16 * 1024;

  private final Deque<ClientConnection> connections = new ArrayDeque<>();
  private long lastReadAtNanos;

  /** Adds a connection with a backlog; it must not have been added before. */
  void add(ClientConnection connection) {
    connections.add(connection);
  }

  boolean isEmpty() {
    return connections.isEmpty();
  }

  /**
   * Reads from each connection in turn if an interval has passed, beginning with the one that has
   * waited longest. Connections without a backlog are removed.
   */
  void readIfDue(long nowNanos) {
    if (connections.isEmpty() || nowNanos - lastReadAtNanos < INTERVAL_NANOS) {
      return;
    }
    lastReadAtNanos = nowNanos;
    int budgetBytes = BYTES_PER_INTERVAL;
    for (int i = connections.size(); i > 0 && budgetBytes > 0; i--) {
      ClientConnection connection = connections.remove();
      budgetBytes -= connection.readBacklog(budgetBytes);
      if (connection.hasBacklog()) {
        connections.add(connection);
      } else {
        connection.backlogEnded();
      }
    }
  }
}
