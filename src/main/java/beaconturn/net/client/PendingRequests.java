package beaconturn.net.client;

import java.util.ArrayList;
import java.util.List;

/** The requests of one connection that may have no response yet. For any thread. */
final class PendingRequests {
  // Guarded by this.
  private final List<RespClientRequest> requests = new ArrayList<>(2);

  synchronized void add(RespClientRequest request) {
    removeAnswered();
    requests.add(request);
  }

  /** Releases the requests that have their response. */
  synchronized void removeAnswered() {
    requests.removeIf(ResponseSlot::isFilled);
  }

  /** Whether a request currently has no response. */
  synchronized boolean hasUnanswered() {
    return requests.stream().anyMatch(request -> !request.isFilled());
  }

  /** Returns the requests that currently have no response. */
  synchronized List<RespClientRequest> unanswered() {
    return requests.stream().filter(request -> !request.isFilled()).toList();
  }
}
