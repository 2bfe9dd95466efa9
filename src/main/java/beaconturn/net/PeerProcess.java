package beaconturn.net;

import beaconturn.decision.WarmStartState;
import beaconturn.net.control.MonotonicMillis;

/**
 * The other process of this router during an upgrade, known by the files in the folder that both
 * have. {@link #isRunning} is for one thread at a time.
 */
final class PeerProcess {
  private static final String SLOTS_FILE = "seats";
  private static final String STATE_FILE = "learned";

  private final ProcessSlots slots;
  private final UpgradeState upgradeState;

  PeerProcess(RouterConfig config) {
    this.slots = new ProcessSlots(config.stateFile(SLOTS_FILE));
    this.upgradeState = new UpgradeState(config.stateFile(STATE_FILE));
  }

  /** Whether it runs now. */
  boolean isRunning() {
    return slots.isOtherTaken();
  }

  /** What it has left for this process, or null. */
  WarmStartState warmStart() {
    return upgradeState.read(MonotonicMillis.millis());
  }

  /** Leaves it what this one has learned. */
  void leave(WarmStartState learned) {
    upgradeState.write(learned, MonotonicMillis.millis());
  }
}
