package beaconturn.net;

import beaconturn.decision.WarmStartState;
import beaconturn.net.client.ExecutedRequestIds;
import beaconturn.net.control.MonotonicMillis;

/**
 * The other process of this router during an upgrade, detected through files in a shared folder.
 * {@link #isRunning} is for one thread at a time.
 */
final class PeerProcess {
  private static final String SLOTS_FILE = "seats";
  private static final String STATE_FILE = "learned";
  private static final String EXECUTED_IDS_FILE = "ids";

  private final ProcessSlots slots;
  private final UpgradeState upgradeState;
  private final ExecutedIdsFile executedIds;

  PeerProcess(RouterConfig config) {
    this.slots = new ProcessSlots(config.stateFile(SLOTS_FILE));
    this.upgradeState = new UpgradeState(config.stateFile(STATE_FILE));
    this.executedIds = new ExecutedIdsFile(config.stateFile(EXECUTED_IDS_FILE));
  }

  boolean isRunning() {
    return slots.isOtherTaken();
  }

  /** The state that the other process has stored for this one, or null. */
  WarmStartState warmStart() {
    return upgradeState.read(MonotonicMillis.millis());
  }

  /** The ids of requests that may have been executed by either process. */
  ExecutedRequestIds executedRequestIds() {
    return executedIds.open();
  }

  /** Stores this process's state for the other one. */
  void writeState(WarmStartState state) {
    upgradeState.write(state, MonotonicMillis.millis());
  }
}
