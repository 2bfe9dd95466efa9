package beaconturn.net.client;

import beaconturn.core.Clock;

/**
 * The large responses of one connection that wait behind others, and their memory. The response
 * that is next in order needs none of it: it is written at once, as far as the client takes it. For
 * any thread.
 */
final class WaitingResponses {
  private final ClientWriter writer;
  private final ResponseMemory.OfConnection memory;
  private final Clock clock;

  WaitingResponses(ClientWriter writer, ResponseMemory.OfConnection memory, Clock clock) {
    this.writer = writer;
    this.memory = memory;
    this.clock = clock;
  }

  /** Reserves the memory that the response of a request needs; false if there is too little. */
  boolean reserve(RespClientRequest request, int bytes) {
    if (!memory.needsReservation(bytes) || writer.isNext(request)) {
      return true;
    }
    if (!memory.reserve(bytes, request.id(), clock.now())) {
      return false;
    }
    request.onDequeued(() -> memory.release(bytes));
    return true;
  }
}
