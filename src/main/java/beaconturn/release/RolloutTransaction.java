package beaconturn.release;

import beaconturn.agreement.StoreRequest;

/** A step through the store, and what it is in words. */
public record RolloutTransaction(StoreRequest.Transaction swap, String says) {}
