package beaconturn.net;

import beaconturn.core.Clock;
import beaconturn.core.RoutingMessage;
import beaconturn.decision.EndpointListKind;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.logging.Logger;

/**
 * Waits at startup for an endpoint list that is recent enough. Lists are received on any thread;
 * the thread that starts the router waits.
 *
 * <p>Guards against sending requests to draining servers: the configured list may be old, and
 * discovery counts a change as delivered from the start of the process on. The waits are bounded,
 * as a router with an old list is better than none.
 */
final class StartupEndpointList {
  private static final Logger LOG = Logger.getLogger(StartupEndpointList.class.getName());
  private static final long AGREED_LIST_TIMEOUT_NANOS = 2_000_000_000;
  private static final long POLL_INTERVAL_NANOS = 5_000_000;

  private final Clock clock;

  /** Null if routers do not agree on a configuration. */
  private final FleetConfigSource fleetConfig;

  private final CountDownLatch discoveryReplied = new CountDownLatch(1);
  private volatile long receivedVersion;

  StartupEndpointList(Clock clock, FleetConfigSource fleetConfig) {
    this.clock = clock;
    this.fleetConfig = fleetConfig;
  }

  /** Records the initial endpoint list from the configuration. */
  void recordInitial(RoutingMessage.EndpointUpdateReceived message) {
    recordVersion(message);
  }

  /** Records a reply of discovery, or its failure, after it was posted to the routing thread. */
  void onDiscoveryReply(RoutingMessage message) {
    recordVersion(message);
    discoveryReplied.countDown();
  }

  private void recordVersion(RoutingMessage message) {
    if (fleetConfig != null
        && message instanceof RoutingMessage.EndpointUpdateReceived received
        && received.update().kind() != EndpointListKind.FAILED) {
      receivedVersion = received.update().version();
      fleetConfig.listReceived(receivedVersion);
    }
  }

  /** Waits for discovery's first reply or failure. */
  void awaitDiscovery(long timeoutNanos, long initialVersion) {
    try {
      if (!discoveryReplied.await(timeoutNanos, TimeUnit.NANOSECONDS)) {
        LOG.info(
            "discovery has not replied in time; starting with endpoint list version "
                + initialVersion);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Waits for a list that is at least as recent as the agreed configuration requires. */
  void awaitAgreedVersion() {
    long untilNanos = clock.now() + AGREED_LIST_TIMEOUT_NANOS;
    while (isTooOld() && clock.now() < untilNanos) {
      LockSupport.parkNanos(POLL_INTERVAL_NANOS);
    }
    if (isTooOld()) {
      LOG.warning(
          "endpoint list version "
              + receivedVersion
              + " is older than the agreed version "
              + fleetConfig.dueConfig().oldestListVersion()
              + " and discovery has no newer one; serving with it");
    }
  }

  private boolean isTooOld() {
    return fleetConfig.dueConfig().oldestListVersion() > receivedVersion;
  }
}
