package beaconturn.agreement;

/** A store request with its purpose. */
record PendingRequest(RequestPurpose purpose, StoreRequest request) {}
