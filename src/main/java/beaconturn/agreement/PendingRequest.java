package beaconturn.agreement;

/** A request to the store and what it is for. */
record PendingRequest(RequestPurpose purpose, StoreRequest request) {}
