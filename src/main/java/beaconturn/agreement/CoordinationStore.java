package beaconturn.agreement;

/** Synchronous client of the coordination store, for one request at a time. */
public interface CoordinationStore {
  /** Sends the request and waits for its response, or for its failure. */
  StoreResponse ask(StoreRequest request);
}
