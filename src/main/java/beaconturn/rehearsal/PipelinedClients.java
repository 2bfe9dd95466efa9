package beaconturn.rehearsal;

import beaconturn.core.Clock;
import beaconturn.history.History;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Connections of all client streams that pipeline commands: a fixed number from each stream to each
 * router.
 */
final class PipelinedClients {
  /** Number of connections of one stream to one router. */
  private static final int CONNECTIONS_PER_ROUTER = 4;

  private static final int CONNECTION_BITS_SHIFT = 17;
  private final Scenario scenario;
  private final List<InetSocketAddress> routers;
  private final Clock clock;
  private final History history;
  private final SequentialClient.AttemptListener listener;
  // Guarded by this:
  private final Map<ConnectionKey, PipelinedClient> connections = new HashMap<>();
  private int createdCount;

  private record ConnectionKey(int stream, int router, int connection) {}

  PipelinedClients(
      Scenario scenario,
      List<InetSocketAddress> routers,
      Clock clock,
      History history,
      SequentialClient.AttemptListener listener) {
    this.scenario = scenario;
    this.routers = routers;
    this.clock = clock;
    this.history = history;
    this.listener = listener;
  }

  /**
   * Returns whether the attempt's connection is open: clients keep using an open connection even if
   * the front avoids its router.
   */
  synchronized boolean isConnected(SequentialClient.Attempt attempt) {
    PipelinedClient connection = connections.get(connectionKey(attempt));
    return connection != null && connection.isConnected();
  }

  /** Sends an attempt on its connection, or on a new one if that is closed. */
  synchronized void send(SequentialClient.Attempt attempt) {
    PipelinedClient connection = connections.get(connectionKey(attempt));
    if (connection == null || !connection.send(attempt)) {
      connection =
          new PipelinedClient(
              routers.get(attempt.router()),
              ++createdCount,
              clock,
              history,
              listener,
              scenario.clientStreams().get(attempt.request().stream()).connectionUsage(),
              scenario.hasSilentConnections(),
              scenario.seed());
      connections.put(connectionKey(attempt), connection);
      connection.send(attempt);
      connection.start();
    }
  }

  private static ConnectionKey connectionKey(SequentialClient.Attempt attempt) {
    return new ConnectionKey(
        attempt.request().stream(),
        attempt.router(),
        (int)
            Long.remainderUnsigned(
                attempt.request().randomBits() >>> CONNECTION_BITS_SHIFT, CONNECTIONS_PER_ROUTER));
  }

  /** Closes each connection once its open requests have ended. */
  synchronized void finish() {
    new ArrayList<>(connections.values()).forEach(PipelinedClient::finish);
  }
}
