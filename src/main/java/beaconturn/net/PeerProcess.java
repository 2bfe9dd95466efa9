package beaconturn.net;

import beaconturn.decision.WarmStartState;
import beaconturn.net.control.MonotonicMillis;

/**
 * The other process of this router during an upgrade, known by the files in the folder that both
 * have.
 */
final class PeerProcess {
  private final ProcessSlots seats;
  private final UpgradeState handOver;

  PeerProcess(RouterConfig config) {
    this.seats = new ProcessSlots(config.kept("seats"));
    this.handOver = new UpgradeState(config.kept("learned"));
  }

  /** Whether it runs now. */
  boolean beside() {
    return seats.beside();
  }

  /** What it has left for this process, or null. */
  WarmStartState left() {
    return handOver.read(MonotonicMillis.millis());
  }

  /** Leaves it what this one has learned. */
  void leave(WarmStartState learned) {
    handOver.write(learned, MonotonicMillis.millis());
  }
}
