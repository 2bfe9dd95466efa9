package beaconturn.net.client;

import beaconturn.net.io.BoundedPipe;
import beaconturn.protocol.Slice;

/** The place of one answer in the order of a client's connection: filled once, by any thread. */
class ResponseSlot {
  private volatile Slice bytes;
  private volatile BoundedPipe flow;
  private Runnable next = () -> {};

  /** A place whose answer is there from the start. */
  static ResponseSlot of(Slice answer) {
    ResponseSlot reply = new ResponseSlot();
    reply.fill(answer);
    return reply;
  }

  /** The answer comes by and by; it is over, as before, when it is filled in. */
  final void flow(BoundedPipe begun) {
    Runnable then;
    synchronized (this) {
      if (bytes != null) {
        begun.cancel();
        return;
      }
      flow = begun;
      then = next;
    }
    begun.whenMore(then);
    then.run();
  }

  /** What the answer comes by, or null if it comes whole. */
  final BoundedPipe flow() {
    return flow;
  }

  /** What of it goes out next: all of it, or a piece of its flow; null if that is not there yet. */
  final Slice nextPiece() {
    // In this order: an answer that comes by and by has its flow before it is filled in.
    Slice whole = bytes;
    return flow != null ? flow.next() : whole;
  }

  /** Fills in the answer; false for one that comes second, which is dropped. */
  final boolean fill(Slice answer) {
    Runnable then;
    synchronized (this) {
      if (bytes != null) {
        return false;
      }
      over();
      bytes = answer;
      then = next;
    }
    then.run();
    return true;
  }

  /** Says what to do once the answer is there, which may be now. */
  final void whenFilled(Runnable action) {
    synchronized (this) {
      if (bytes == null) {
        next = action;
        return;
      }
    }
    action.run();
  }

  /** Called once, before the answer can be seen. */
  void over() {}

  final boolean isFilled() {
    return bytes != null;
  }

  /** The answer, or null if there is none yet. */
  final Slice bytes() {
    return bytes;
  }
}
