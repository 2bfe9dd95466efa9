package beaconturn.net;

import beaconturn.decision.WarmStartState;
import beaconturn.net.control.MonotonicMillis;

/**
 * The other process of this router during an upgrade, detected through files in a shared folder.
 * {@link #isRunning} is for one thread at a time.
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

  boolean isRunning() {
    return slots.isOtherTaken();
  }

  /** The state that the other process has stored for this one, or null. */
  WarmStartState warmStart() {
    return upgradeState.read(MonotonicMillis.millis());
  }

  /** Stores this process's state for the other one. */
  void writeState(WarmStartState state) {
    upgradeState.write(state, MonotonicMillis.millis());
  }
}
