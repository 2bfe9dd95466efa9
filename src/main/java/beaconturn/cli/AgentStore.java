package beaconturn.cli;

import beaconturn.agreement.AgreementException;
import beaconturn.agreement.CoordinationStore;
import beaconturn.agreement.StoreRequest;
import beaconturn.agreement.StoreResponse;
import beaconturn.release.RolloutKeys;
import beaconturn.release.RolloutSnapshot;
import beaconturn.release.RolloutTransaction;

/** Reads and writes of an agent in the store, with its log. Confined to the agent's thread. */
final class AgentStore {
  /** So many times in a row a transaction fails before the log tells it. */
  private static final int MANY_FAILURES = 10;

  private final CoordinationStore store;
  private final RolloutKeys keys;
  private String lastDescription = "";
  private int failures;

  AgentStore(CoordinationStore store, RolloutKeys keys) {
    this.store = store;
    this.keys = keys;
  }

  /** Writes a line to the log. */
  static void log(String text) {
    System.err.println(System.currentTimeMillis() + " " + text);
  }

  /** What the store holds, or null where it does not answer or cannot be read. */
  RolloutSnapshot read() {
    if (!(store.ask(new StoreRequest.Read(keys.prefix()))
        instanceof StoreResponse.Success response)) {
      return null;
    }
    try {
      return RolloutSnapshot.of(keys, response);
    } catch (AgreementException e) {
      log(e.getMessage());
      return null;
    }
  }

  /** Executes a transaction; whether it held. */
  boolean execute(RolloutTransaction transaction) {
    boolean held =
        store.ask(transaction.storeTransaction()) instanceof StoreResponse.Success response
            && response.conditionsHeld();
    boolean failedBefore = transaction.description().equals(lastDescription);
    failures = held || !failedBefore ? 0 : failures + 1;
    lastDescription = transaction.description();
    if (held) {
      log(transaction.description());
    } else if (failures == MANY_FAILURES) {
      // Others may be faster now and then; a transaction that never holds points to a fault.
      log("does not hold again and again: " + transaction.description());
    }
    return held;
  }

  /** Executes a request whose outcome nothing depends on. */
  void write(StoreRequest.Transaction swap) {
    store.ask(swap);
  }
}
