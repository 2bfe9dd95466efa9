package beaconturn.net;

import beaconturn.core.CacheServerClients;
import beaconturn.core.Clock;
import beaconturn.core.EndpointDiscovery;
import beaconturn.core.RoutingEngine;
import beaconturn.core.RoutingMessage;
import beaconturn.net.client.ClientConnection;
import beaconturn.net.client.ConnectionContext;
import java.nio.channels.SocketChannel;
import java.util.function.Consumer;

/**
 * Parts of a router that tests replace by defective ones, to prove that what watches over routers
 * notices. The defaults are what every router in service has.
 */
interface RouterCustomization {
  /** Nothing replaced. */
  RouterCustomization NONE = new RouterCustomization() {};

  /** How long a start waits for discovery's first answer, or its failure. */
  long FIRST_LIST_TIMEOUT_NANOS = 250_000_000;

  /** The engine that the routing thread runs. */
  default RoutingEngine engine(
      RouterConfig config,
      Clock clock,
      CacheServerClients cacheServers,
      EndpointDiscovery discovery) {
    return new RoutingEngine(
        config.settings().routing(), config.seed(), clock, cacheServers, discovery);
  }

  /** How long a start waits for discovery's first answer, or its failure. */
  default long firstListTimeoutNanos() {
    return FIRST_LIST_TIMEOUT_NANOS;
  }

  /** How a client's connection is served. */
  default ClientConnection connection(SocketChannel channel, ConnectionContext context) {
    return new ClientConnection(channel, context);
  }

  /** Where clients, cache servers and discovery post their messages. */
  default Consumer<RoutingMessage> inbox(Consumer<RoutingMessage> mailbox) {
    return mailbox;
  }
}
