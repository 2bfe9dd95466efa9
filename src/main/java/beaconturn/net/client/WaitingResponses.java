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
   * this connection are written again when there may be more, until {@link #stopWaiting}.
   */
  boolean reserveCollected(RespClientRequest request, int bytes) {
    if (!memory.reserveCollected(bytes, writeLater)) {
      request.onDequeued(this::stopWaiting);
      return false;
    }
    request.onDequeued(() -> memory.releaseCollected(bytes));
    return true;
  }

  /** Ends the wait for memory that {@link #reserveCollected} began. */
  void stopWaiting() {
    memory.stopWaiting(writeLater);
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
