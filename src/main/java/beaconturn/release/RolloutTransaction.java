package beaconturn.release;

import beaconturn.agreement.StoreRequest;

/**
 * One step of a release as a transaction of the store.
 *
 * @param storeTransaction conditions and changes
 * @param description the step in words, for the history and the log
 */
public record RolloutTransaction(StoreRequest.Transaction storeTransaction, String description) {}
