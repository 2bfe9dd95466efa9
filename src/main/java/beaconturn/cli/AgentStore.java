package beaconturn.cli;

import beaconturn.agreement.AgreementException;
import beaconturn.agreement.CoordinationStore;
import beaconturn.agreement.StoreRequest;
import beaconturn.agreement.StoreResponse;
import beaconturn.release.RolloutKeys;
import beaconturn.release.RolloutSnapshot;
import beaconturn.release.RolloutTransaction;

/**
 * Reads the rollout state from the store and executes an agent's transactions, with a log line for
 * each. Confined to the agent's thread.
 */
final class AgentStore {
  /** Consecutive failures of the same transaction after which a log line is written. */
  private static final int FAILURES_UNTIL_LOGGED = 10;

  private final CoordinationStore store;
  private final RolloutKeys keys;
  private String lastDescription = "";
  private int consecutiveFailures;

  AgentStore(CoordinationStore store, RolloutKeys keys) {
    this.store = store;
    this.keys = keys;
  }

  /** Writes a line with the wall clock time in milliseconds to standard error. */
  static void log(String text) {
    System.err.println(System.currentTimeMillis() + " " + text);
  }

  /** The state in the store, or null if the store does not reply or its content is invalid. */
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

  /** Executes a transaction; returns whether its conditions held. */
  boolean execute(RolloutTransaction transaction) {
    boolean held =
        store.ask(transaction.storeTransaction()) instanceof StoreResponse.Success response
            && response.conditionsHeld();
    boolean sameAsBefore = transaction.description().equals(lastDescription);
    consecutiveFailures = held || !sameAsBefore ? 0 : consecutiveFailures + 1;
    lastDescription = transaction.description();
    if (held) {
      log(transaction.description());
    } else if (consecutiveFailures == FAILURES_UNTIL_LOGGED) {
      // A lost race with another agent is normal; conditions that never hold indicate a fault.
      log("conditions of a transaction failed repeatedly: " + transaction.description());
    }
    return held;
  }

  /** Executes a transaction and ignores the result. */
  void write(StoreRequest.Transaction transaction) {
    store.ask(transaction);
  }
}
