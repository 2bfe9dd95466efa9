package beaconturn.net;

import beaconturn.core.Clock;
import beaconturn.core.RoutingMessage;
import beaconturn.decision.EndpointListKind;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.logging.Logger;

/**
 * The endpoint list as a start waits for it. Lists are received on any thread; the thread that
 * starts the router waits.
 *
 * <p>The failure guarded against: the list that a router is started with may be old, and a change
 * that discovery has counts as notified from the first moment of a process. A router that served at
 * once would send requests to servers that drain. The waits are bounded, as a router with an old
 * list is better than none.
 */
final class StartupEndpointList {
  private static final Logger LOG = Logger.getLogger(StartupEndpointList.class.getName());
  private static final long AGREED_LIST_TIMEOUT_NANOS = 2_000_000_000;
  private static final long POLL_INTERVAL_NANOS = 5_000_000;

  private final Clock clock;

  /** Null where routers do not agree. */
  private final FleetConfigSource fleetConfig;

  private final CountDownLatch discoveryAnswered = new CountDownLatch(1);
  private volatile long receivedVersion;

  StartupEndpointList(Clock clock, FleetConfigSource fleetConfig) {
    this.clock = clock;
    this.fleetConfig = fleetConfig;
  }

  /** Notes the list that the router was started with. */
  void known(RoutingMessage.EndpointUpdateReceived message) {
    note(message);
  }

  /** Notes what discovery has answered, or that it failed to; the routing thread has it already. */
  void received(RoutingMessage message) {
    note(message);
    discoveryAnswered.countDown();
  }

  private void note(RoutingMessage message) {
    if (fleetConfig != null
        && message instanceof RoutingMessage.EndpointUpdateReceived news
        && news.update().kind() != EndpointListKind.FAILED) {
      receivedVersion = news.update().version();
      fleetConfig.listReceived(receivedVersion);
    }
  }

  /** Waits for discovery's first answer or failure. */
  void awaitDiscovery(long timeoutNanos, long knownVersion) {
    try {
      if (!discoveryAnswered.await(timeoutNanos, TimeUnit.NANOSECONDS)) {
        LOG.info("discovery is slow to answer: goes on with list " + knownVersion);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Waits for a list that is no older than what all routers act on by now. */
  void awaitAgreedVersion() {
    long untilNanos = clock.now() + AGREED_LIST_TIMEOUT_NANOS;
    while (isTooOld() && clock.now() < untilNanos) {
      LockSupport.parkNanos(POLL_INTERVAL_NANOS);
    }
    if (isTooOld()) {
      LOG.warning(
          "list "
              + receivedVersion
              + " is older than what is agreed on, "
              + fleetConfig.dueConfig().oldestListVersion()
              + ", and discovery tells no newer one: serves on it");
    }
  }

  private boolean isTooOld() {
    return fleetConfig.dueConfig().oldestListVersion() > receivedVersion;
  }
}
