package beaconturn.net.client;

import java.util.ArrayList;
import java.util.List;

/** The requests of one connection that may have no answer yet. For any thread. */
final class PendingRequests {
  // Guarded by this.
  private final List<RespClientRequest> requests = new ArrayList<>(2);

  /** Adds a request that waits for its answer. */
  synchronized void add(RespClientRequest request) {
    forgetAnswered();
    requests.add(request);
  }

  /** Keeps nothing of the requests that have their answers. */
  synchronized void forgetAnswered() {
    requests.removeIf(ResponseSlot::isFilled);
  }

  /** The requests that have no answer as of now. */
  synchronized List<RespClientRequest> unanswered() {
    return requests.stream().filter(request -> !request.isFilled()).toList();
  }
}
