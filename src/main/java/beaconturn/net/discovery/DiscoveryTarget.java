package beaconturn.net.discovery;

import beaconturn.core.EndpointUpdate;
import beaconturn.core.RoutingMessage;
import beaconturn.decision.EndpointListKind;
import java.net.InetSocketAddress;
import java.util.function.Consumer;

/**
 * The current discovery address and the last endpoint list version received from it. Safe for any
 * thread.
 *
 * <p>Guards against a list from the former address that arrives after a move to a new one: such a
 * list is dropped under the lock that guards the address.
 */
final class DiscoveryTarget {
  /** No known version: the complete list must be fetched. */
  static final long NO_VERSION = -1;

  /** The client of a watch and the list version after which the watch requests changes. */
  record WatchStart(DiscoveryClient client, long version) {}

  private final Consumer<RoutingMessage> routingThread;
  // Guarded by this:
  private InetSocketAddress address;
  private DiscoveryClient watchClient;
  private DiscoveryClient fetchClient;
  private long version;

  DiscoveryTarget(InetSocketAddress address, long version, Consumer<RoutingMessage> routingThread) {
    this.address = address;
    this.watchClient = new DiscoveryClient(address);
    this.fetchClient = new DiscoveryClient(address);
    this.version = version;
    this.routingThread = routingThread;
  }

  synchronized InetSocketAddress address() {
    return address;
  }

  /** The start of the next watch. */
  synchronized WatchStart watchStart() {
    return new WatchStart(watchClient, version);
  }

  /** The client for complete lists. */
  synchronized DiscoveryClient fetchClient() {
    return fetchClient;
  }

  /**
   * Moves to a new address and aborts open calls. Discards the known version, as the new discovery
   * may count versions differently.
   */
  synchronized void move(InetSocketAddress to) {
    watchClient.shutDown();
    fetchClient.shutDown();
    address = to;
    watchClient = new DiscoveryClient(to);
    fetchClient = new DiscoveryClient(to);
    version = NO_VERSION;
  }

  /**
   * Posts an update to the routing thread, blocking while its mailbox is full. Drops the update and
   * returns false if discovery has moved since the client's call started.
   */
  synchronized boolean deliver(DiscoveryClient client, EndpointUpdate update) {
    if (client != watchClient && client != fetchClient) {
      return false;
    }
    if (update.kind() != EndpointListKind.FAILED) {
      version = update.version();
    }
    routingThread.accept(new RoutingMessage.EndpointUpdateReceived(update));
    return true;
  }
}
