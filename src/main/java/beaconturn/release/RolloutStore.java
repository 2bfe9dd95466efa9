package beaconturn.release;

import beaconturn.agreement.AgreementException;
import beaconturn.agreement.ConfigAdmin;
import beaconturn.agreement.CoordinationStore;
import beaconturn.agreement.StoreRequest;
import beaconturn.agreement.StoreResponse;

/** Reads and changes the release data in the store, for operators' commands. */
final class RolloutStore {
  private static final int MAX_ATTEMPTS = 5;
  private final RolloutKeys keys;
  private final CoordinationStore store;

  /** Decides on a transaction from a snapshot. */
  interface Decision {
    /**
     * Returns the transaction to execute.
     *
     * @throws AgreementException if the command is not allowed in the current state
     */
    RolloutTransaction decide(RolloutSnapshot snapshot) throws AgreementException;
  }

  RolloutStore(RolloutKeys keys, CoordinationStore store) {
    this.keys = keys;
    this.store = store;
  }

  /**
   * Sends a request to the store.
   *
   * @throws AgreementException if the store does not reply
   */
  StoreResponse.Success request(StoreRequest request) throws AgreementException {
    return ConfigAdmin.requireSuccess(store, request);
  }

  RolloutSnapshot snapshot() throws AgreementException {
    return RolloutSnapshot.of(keys, request(new StoreRequest.Read(keys.prefix())));
  }

  /**
   * Executes a decision and returns its description. If a concurrent change makes the transaction
   * fail, the decision is made again, up to {@value #MAX_ATTEMPTS} attempts in all.
   */
  String execute(Decision decision) throws AgreementException {
    for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      RolloutTransaction transaction = decision.decide(snapshot());
      if (request(transaction.storeTransaction()).conditionsHeld()) {
        return transaction.description();
      }
    }
    throw new AgreementException(
        "not done: other changes to the store conflicted with all "
            + MAX_ATTEMPTS
            + " attempts; check the current state and try again");
  }
}
