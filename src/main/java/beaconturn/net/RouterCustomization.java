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
 * Replaces components of a router by defective ones, so that tests can prove that checks detect the
 * defects. The defaults are used in production.
 */
interface RouterCustomization {
  /** Replaces nothing. */
  RouterCustomization NONE = new RouterCustomization() {};

  /** Time that a start waits for discovery's first reply or failure. */
  long FIRST_LIST_TIMEOUT_NANOS = 250_000_000;

  /** Creates the engine that the routing thread runs. */
  default RoutingEngine engine(
      RouterConfig config,
      Clock clock,
      CacheServerClients cacheServers,
      EndpointDiscovery discovery) {
    return new RoutingEngine(
        config.settings().routing(), config.seed(), clock, cacheServers, discovery);
  }

  /** Time that a start waits for discovery's first reply or failure, in nanoseconds. */
  default long firstListTimeoutNanos() {
    return FIRST_LIST_TIMEOUT_NANOS;
  }

  /** Creates the connection that serves a client. */
  default ClientConnection connection(SocketChannel channel, ConnectionContext context) {
    return new ClientConnection(channel, context);
  }

  /** Wraps the consumer to which clients, cache servers and discovery post their messages. */
  default Consumer<RoutingMessage> inbox(Consumer<RoutingMessage> mailbox) {
    return mailbox;
  }
}
