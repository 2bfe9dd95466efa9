package beaconturn.release;

import beaconturn.agreement.StoreRequest;

/**
 * A transaction that takes one step of a release, with its description.
 *
 * @param storeTransaction conditions and changes
 * @param description what the transaction does, for the history and the log; empty for a point of
 *     the time series
 */
public record RolloutTransaction(StoreRequest.Transaction storeTransaction, String description) {}
