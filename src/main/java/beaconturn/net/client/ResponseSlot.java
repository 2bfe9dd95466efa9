package beaconturn.net.client;

import beaconturn.net.io.BoundedPipe;
import beaconturn.protocol.Slice;

/**
 * The place of one answer in the order of a client's connection. It is filled once; any thread may
 * call any method.
 */
class ResponseSlot {
  /** The answer, or null as long as there is none. Written under this object's lock. */
  private volatile Slice bytes;

  /**
   * The pipe that the answer comes by, piece by piece; null if it comes whole. Written under this
   * object's lock.
   */
  private volatile BoundedPipe stream;

  /** Guarded by this. */
  private Runnable whenMore = () -> {};

  /** A place whose answer is there from the start. */
  static ResponseSlot of(Slice answer) {
    ResponseSlot slot = new ResponseSlot();
    slot.fill(answer);
    return slot;
  }

  /** Has the answer come piece by piece; it is over, as any other, when it is filled in. */
  final void startStream(BoundedPipe started) {
    Runnable action;
    synchronized (this) {
      if (bytes != null) {
        started.cancel();
        return;
      }
      stream = started;
      action = whenMore;
    }
    started.whenMore(action);
    action.run();
  }

  /** The pipe that the answer comes by, or null if it comes whole. */
  final BoundedPipe stream() {
    return stream;
  }

  /** What goes out next: the answer, or a piece of its stream; null if that is not there yet. */
  final Slice nextPiece() {
    // In this order: an answer that is streamed has its stream before it is filled in.
    Slice whole = bytes;
    return stream != null ? stream.next() : whole;
  }

  /** Fills in the answer; false for one that comes second, which is dropped. */
  final boolean fill(Slice answer) {
    Runnable action;
    synchronized (this) {
      if (bytes != null) {
        return false;
      }
      onFilled();
      bytes = answer;
      action = whenMore;
    }
    action.run();
    return true;
  }

  /** Says what to do once the answer is there, which may be now. */
  final void whenFilled(Runnable action) {
    synchronized (this) {
      if (bytes == null) {
        whenMore = action;
        return;
      }
    }
    action.run();
  }

  /** Called once, before the answer can be seen. */
  void onFilled() {}

  /** Whether it has its answer. */
  final boolean isFilled() {
    return bytes != null;
  }

  /** The answer, or null if there is none yet. */
  final Slice bytes() {
    return bytes;
  }
}
