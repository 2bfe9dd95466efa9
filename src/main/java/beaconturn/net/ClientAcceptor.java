package beaconturn.net;

import beaconturn.core.Clock;
import beaconturn.core.RepeatedEventLog;
import beaconturn.net.client.ClientConnection;
import beaconturn.net.client.ClientConnections;
import beaconturn.net.client.ConnectionContext;
import beaconturn.net.io.Sockets;
import java.nio.channels.SocketChannel;
import java.util.logging.Logger;

/** Takes accepted connections of clients into service; for the listener's thread alone. */
final class ClientAcceptor {
  private static final Logger LOG = Logger.getLogger(ClientAcceptor.class.getName());

  private final ClientConnections connections;
  private final ConnectionContext context;
  private final RouterCustomization customization;
  private final Clock clock;
  private final RepeatedEventLog turnedAway =
      new RepeatedEventLog(LOG, "new client connections are turned away", 1);

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
   * Serves the connection, or closes it where there is no room: the one accepting thread must not
   * be held up by clients that keep others at work.
   */
  void accept(SocketChannel channel) {
    if (connections.makeRoom(clock.now())) {
      ClientConnection connection = customization.connection(channel, context);
      connections.add(connection);
      connection.start();
    } else {
      Sockets.close(channel);
      turnedAway.note(clock.now());
    }
    turnedAway.check(clock.now());
  }
}
