package beaconturn.net.client;

import beaconturn.net.io.BoundedPipe;
import beaconturn.protocol.Slice;

/**
 * The position of one response among the responses of a client connection. Filled once; any thread
 * may call any method.
 */
class ResponseSlot {
  /** Takes the place of a response that has been written, or never will be. */
  private static final Slice RELEASED = Slice.of("");

  /** The response, or null while there is none. Written under this object's lock. */
  private volatile Slice response;

  /**
   * The pipe that supplies a streamed response, or null if the response is not streamed. Set once
   * under this object's lock, and cleared if the stream breaks off before it is started.
   */
  private volatile BoundedPipe stream;

  /** Guarded by this. */
  private Runnable onAvailable = () -> {};

  /** Runs once the slot has left the queue of responses, or null. Guarded by this. */
  private Runnable onDequeued;

  /** Guarded by this. */
  private boolean dequeued;

  /** Creates a slot that is already filled. */
  static ResponseSlot of(Slice bytes) {
    ResponseSlot slot = new ResponseSlot();
    slot.fill(bytes);
    return slot;
  }

  /** Streams the response from the pipe; the response is complete once the slot is filled. */
  final void startStream(BoundedPipe pipe) {
    Runnable action;
    synchronized (this) {
      if (response != null) {
        pipe.cancel();
        return;
      }
      stream = pipe;
      action = onAvailable;
    }
    pipe.onAvailable(action);
    action.run();
  }

  /** The pipe that supplies a streamed response, or null if the response is not streamed. */
  final BoundedPipe stream() {
    return stream;
  }

  /**
   * Returns the complete response or the next chunk of a streamed one, or null if none is
   * available.
   */
  Slice nextChunk() {
    // Read in this order: a streamed response has its stream before the slot is filled.
    Slice completeResponse = response;
    BoundedPipe pipe = stream;
    if (pipe == null) {
      return completeResponse;
    }
    Slice chunk = pipe.next();
    if (chunk != BoundedPipe.ABORTED || pipe.isStarted()) {
      return chunk;
    }
    // Nothing of it was written: the error that the slot is filled with takes its place.
    stream = null;
    return response;
  }

  /** Whether the chunk that was returned last is the end of the response. */
  boolean endsWithChunk() {
    return stream == null;
  }

  /** Fills in the response; false if the slot is already filled. */
  final boolean fill(Slice bytes) {
    Runnable action;
    synchronized (this) {
      if (response != null) {
        return false;
      }
      onFilled();
      response = dequeued ? RELEASED : bytes;
      action = onAvailable;
    }
    action.run();
    return true;
  }

  /** Sets the action that runs once a response is available; runs it now if there is one. */
  final void whenAvailable(Runnable action) {
    synchronized (this) {
      if (response == null) {
        onAvailable = action;
        return;
      }
    }
    action.run();
  }

  /** Sets an action that runs once the slot has left the queue of responses, at once if it has. */
  final void onDequeued(Runnable action) {
    synchronized (this) {
      if (!dequeued) {
        onDequeued = action;
        return;
      }
    }
    action.run();
  }

  /**
   * Reports that the slot has left the queue: it has been written, or never will be. Releases the
   * response, as the slot itself may be kept.
   */
  final void dequeued() {
    Runnable action;
    synchronized (this) {
      dequeued = true;
      response = response == null ? null : RELEASED;
      action = onDequeued;
      onDequeued = null;
    }
    if (action != null) {
      action.run();
    }
  }

  /** When the client stops waiting, in nanoseconds of the router's clock. */
  public long deadlineNanos() {
    return Long.MAX_VALUE;
  }

  /** Reserves memory to collect a streamed response of this size; false if there is too little. */
  boolean reserveCollected(int bytes) {
    return true;
  }

  /** Reports that the memory that {@link #reserveCollected} did not get is no longer needed. */
  void stopWaitingForMemory() {}

  /** Called once, before the response is visible. */
  void onFilled() {}

  final boolean isFilled() {
    return response != null;
  }

  /** The response, empty once the slot has left the queue, or null if there is none yet. */
  final Slice bytes() {
    return response;
  }
}
