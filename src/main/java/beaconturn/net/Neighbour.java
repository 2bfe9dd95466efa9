package beaconturn.net;

import beaconturn.decision.Learned;
import beaconturn.net.control.MachineTime;

/**
 * The other process of this router during an upgrade, known by the files in the folder that both
 * have.
 */
final class Neighbour {
  private final Seats seats;
  private final HandOver handOver;

  Neighbour(RouterConfig config) {
    this.seats = new Seats(config.kept("seats"));
    this.handOver = new HandOver(config.kept("learned"));
  }

  /** Whether it runs now. */
  boolean beside() {
    return seats.beside();
  }

  /** What it has left for this process, or null. */
  Learned left() {
    return handOver.read(MachineTime.millis());
  }

  /** Leaves it what this one has learned. */
  void leave(Learned learned) {
    handOver.write(learned, MachineTime.millis());
  }
}
