package beaconturn.net;

import beaconturn.core.Clock;
import beaconturn.core.RepeatedEventLog;
import beaconturn.net.client.ClientConnection;
import beaconturn.net.client.ClientConnections;
import beaconturn.net.client.ConnectionContext;
import beaconturn.net.io.Sockets;
import java.nio.channels.SocketChannel;
import java.util.logging.Logger;

/** Puts accepted client connections into service. Listener thread only. */
final class ClientAcceptor {
  private static final Logger LOG = Logger.getLogger(ClientAcceptor.class.getName());

  private final ClientConnections connections;
  private final ConnectionContext context;
  private final RouterCustomization customization;
  private final Clock clock;
  private final RepeatedEventLog rejectedConnections =
      new RepeatedEventLog(
          LOG, "new client connections are closed, as no connection can be evicted for them", 1);

  ClientAcceptor(
      ClientConnections connections,
      ConnectionContext context,
      RouterCustomization customization,
      Clock clock) {
    this.connections = connections;
    this.context = context;
    this.customization = customization;
    this.clock = clock;
  }

  /**
   * Serves the connection, or closes it if there is no room: the only accepting thread must not
   * wait for busy clients.
   */
  void accept(SocketChannel channel) {
    if (connections.makeRoom(clock.now())) {
      ClientConnection connection = customization.connection(channel, context);
      connections.add(connection);
      connection.start();
    } else {
      Sockets.close(channel);
      rejectedConnections.note(clock.now());
    }
    rejectedConnections.check(clock.now());
  }
}
