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
  private final Runnable writeLater;

  /**
   * Creates an empty set of responses.
   *
   * @param writeLater has the connection's responses written on another thread; never blocks
   */
  WaitingResponses(
      ClientWriter writer, ResponseMemory.OfConnection memory, Clock clock, Runnable writeLater) {
    this.writer = writer;
    this.memory = memory;
    this.clock = clock;
    this.writeLater = writeLater;
  }

  /**
   * Reserves the memory to collect a streamed response; if there is too little, the responses of
   * this connection are written again after some has been released.
   */
  boolean reserveCollected(RespClientRequest request, int bytes) {
    if (!memory.reserveCollected(bytes, writeLater)) {
      return false;
    }
    request.onDequeued(() -> memory.releaseCollected(bytes));
    return true;
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
