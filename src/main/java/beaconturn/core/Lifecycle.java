package beaconturn.core;

import java.util.logging.Logger;

/** Tracks the phase of the process, which only advances. Safe for any thread. */
public final class Lifecycle {
  private static final Logger LOG = Logger.getLogger(Lifecycle.class.getName());

  /** The phases in order; a router that fails to start goes from the first directly to the last. */
  public enum Phase {
    STARTING,
    SERVING,
    DRAINING,
    STOPPED
  }

  private Phase phase = Phase.STARTING;

  /** The current phase. */
  public synchronized Phase phase() {
    return phase;
  }

  /** Whether the router reports itself as ready to clients. */
  public synchronized boolean ready() {
    return phase == Phase.SERVING || phase == Phase.DRAINING;
  }

  /** Advances to a later phase; false, without effect, if that phase has already been reached. */
  public synchronized boolean advance(Phase to) {
    if (to.compareTo(phase) <= 0) {
      return false;
    }
    LOG.info("phase " + phase + " -> " + to);
    phase = to;
    notifyAll();
    return true;
  }

  /** Blocks until the phase or a later one is reached. */
  public synchronized void await(Phase wanted) throws InterruptedException {
    while (phase.compareTo(wanted) < 0) {
      wait();
    }
  }
}
