package beaconturn.net;

import beaconturn.core.Clock;
import beaconturn.core.Lifecycle;
import beaconturn.net.client.ClientConnections;
import beaconturn.net.io.ConnectionLimit;
import beaconturn.net.io.Threads;
import java.util.logging.Logger;

/**
 * Periodic maintenance on its own thread, the sweeper: detects pauses of the process, closes client
 * connections that have timed out, and updates this process's share of the limits.
 */
final class MaintenanceLoop {
  private static final Logger LOG = Logger.getLogger(MaintenanceLoop.class.getName());
  private static final long INTERVAL_MILLIS = 50;

  private final Clock clock;
  private final Lifecycle lifecycle;
  private final ClientConnections clients;
  private final ConnectionLimit cacheConnections;
  private final ProcessHandover handover;

  MaintenanceLoop(
      Clock clock,
      Lifecycle lifecycle,
      ClientConnections clients,
      ConnectionLimit cacheConnections,
      ProcessHandover handover) {
    this.clock = clock;
    this.lifecycle = lifecycle;
    this.clients = clients;
    this.cacheConnections = cacheConnections;
    this.handover = handover;
  }

  /** Starts the thread, which exits once the router has stopped. */
  void start() {
    Threads.supervised("sweeper", this::run);
  }

  private void run() throws InterruptedException {
    ProcessPauseDetector pauses =
        new ProcessPauseDetector(clock, ProcessPauseDetector::cpuTimeNanos);
    while (lifecycle.phase() != Lifecycle.Phase.STOPPED) {
      String pause = pauses.check();
      if (pause != null) {
        LOG.warning(pause);
      }
      clients.sweep(clock.now());
      handover.update(clients, cacheConnections, lifecycle);
      Thread.sleep(INTERVAL_MILLIS);
    }
  }
}
