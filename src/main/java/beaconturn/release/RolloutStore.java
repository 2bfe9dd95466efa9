package beaconturn.release;

import beaconturn.agreement.AgreementException;
import beaconturn.agreement.ConfigAdmin;
import beaconturn.agreement.CoordinationStore;
import beaconturn.agreement.StoreRequest;
import beaconturn.agreement.StoreResponse;

/** Reads and changes what the store holds of a release, for commands of operators. */
final class RolloutStore {
  private static final int MAX_ATTEMPTS = 5;
  private final RolloutKeys keys;
  private final CoordinationStore store;

  /** Decides on a transaction from a snapshot. */
  interface Decision {
    /**
     * The transaction.
     *
     * @throws AgreementException if the command is not allowed as things are, with the reason
     */
    RolloutTransaction decide(RolloutSnapshot snapshot) throws AgreementException;
  }

  RolloutStore(RolloutKeys keys, CoordinationStore store) {
    this.keys = keys;
    this.store = store;
  }

  /** The response to a request; an exception where the store does not answer. */
  StoreResponse.Success request(StoreRequest request) throws AgreementException {
    return ConfigAdmin.requireSuccess(store, request);
  }

  RolloutSnapshot snapshot() throws AgreementException {
    return RolloutSnapshot.of(keys, request(new StoreRequest.Read(keys.prefix())));
  }

  /**
   * Carries a decision out and returns its description. Where others have changed the store in
   * between, it is decided anew.
   */
  String execute(Decision decision) throws AgreementException {
    for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      RolloutTransaction transaction = decision.decide(snapshot());
      if (request(transaction.storeTransaction()).conditionsHeld()) {
        return transaction.description();
      }
    }
    throw new AgreementException("not done, things keep changing: look again");
  }
}
