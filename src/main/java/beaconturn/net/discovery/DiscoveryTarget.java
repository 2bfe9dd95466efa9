package beaconturn.net.discovery;

import beaconturn.core.EndpointUpdate;
import beaconturn.core.RoutingMessage;
import beaconturn.decision.EndpointListKind;
import java.net.InetSocketAddress;
import java.util.function.Consumer;

/**
 * Which discovery is asked, and the version of the endpoint list that it has sent last. Safe for
 * any thread.
 *
 * <p>The failure guarded against is an old list that overtakes a new one at a move: what a call to
 * the address before brings after the move is dropped, under the same lock under which the address
 * changes.
 */
final class DiscoveryTarget {
  /** In the place of a version: the list is to be fetched whole. */
  static final long NO_VERSION = -1;

  /** A client, and the version that it is to be asked for changes after. */
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

  /** What the next watch begins with. */
  synchronized WatchStart watchStart() {
    return new WatchStart(watchClient, version);
  }

  /** The client for whole lists. */
  synchronized DiscoveryClient fetchClient() {
    return fetchClient;
  }

  /** Ends open calls; versions at the new address may be others, so none counts as known. */
  synchronized void move(InetSocketAddress to) {
    watchClient.abandon();
    fetchClient.abandon();
    address = to;
    watchClient = new DiscoveryClient(to);
    fetchClient = new DiscoveryClient(to);
    version = NO_VERSION;
  }

  /**
   * Hands an update to the routing thread, waiting for room; false, and nothing is handed on, if
   * discovery has moved since the call began.
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
