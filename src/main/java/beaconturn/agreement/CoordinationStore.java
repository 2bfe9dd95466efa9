package beaconturn.agreement;

/** The coordination store, asked one request at a time. */
public interface CoordinationStore {
  /** Sends the request and waits for its response, which may be that there was none. */
  StoreResponse ask(StoreRequest request);
}
