package beaconturn.net.client;

import java.util.ArrayList;
import java.util.List;

/** The requests of one connection that may have no answer yet. For any thread. */
final class PendingRequests {
  // Guarded by this:
  private final List<RespClientRequest> calls = new ArrayList<>(2);

  synchronized void add(RespClientRequest call) {
    forgetAnswered();
    calls.add(call);
  }

  /** Nothing is kept of a request that has its answer. */
  synchronized void forgetAnswered() {
    calls.removeIf(ResponseSlot::isFilled);
  }

  synchronized List<RespClientRequest> unanswered() {
    return calls.stream().filter(call -> !call.isFilled()).toList();
  }
}
