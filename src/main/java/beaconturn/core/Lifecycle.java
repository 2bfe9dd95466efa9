package beaconturn.core;

import java.util.logging.Logger;

/**
 * The phases of the program from start to exit, as one object that only moves forward. Any thread
 * may call.
 */
public final class Lifecycle {
  private static final Logger LOG = Logger.getLogger(Lifecycle.class.getName());

  /** The phases, in order; a router that fails to start goes from the first to the last. */
  public enum Phase {
    STARTING,
    SERVING,
    DRAINING,
    STOPPED
  }

  private Phase phase = Phase.STARTING;

  /** The phase now. */
  public synchronized Phase phase() {
    return phase;
  }

  /** Whether clients may be told that the router is ready. */
  public synchronized boolean ready() {
    return phase == Phase.SERVING || phase == Phase.DRAINING;
  }

  /** Moves on to a later phase; false, and nothing happens, if that phase is reached or past. */
  public synchronized boolean advance(Phase to) {
    if (to.compareTo(phase) <= 0) {
      return false;
    }
    LOG.info("phase " + phase + " -> " + to);
    phase = to;
    notifyAll();
    return true;
  }

  /** Waits until the phase is reached or past. */
  public synchronized void await(Phase wanted) throws InterruptedException {
    while (phase.compareTo(wanted) < 0) {
      wait();
    }
  }
}
