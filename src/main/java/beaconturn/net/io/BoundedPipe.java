package beaconturn.net.io;

import beaconturn.core.StreamingResponse;
import beaconturn.protocol.Slice;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * A bounded buffer between the thread that reads a large answer and those that write it to its
 * client: a few pieces at the most. The reader waits while it is full; whoever writes to the client
 * never waits.
 */
public final class BoundedPipe implements StreamingResponse {
  /** In the place of a piece: all of the answer has been taken. */
  public static final Slice END = Slice.of("");

  /** In the place of a piece: the answer broke off. */
  public static final Slice ABORTED = Slice.of("");

  private static final int CAPACITY_BYTES = 32 * 1024;

  // Guarded by this.
  private final Deque<Slice> pieces = new ArrayDeque<>();
  private int heldBytes;

  /** {@link #END} or {@link #ABORTED} once no further piece will come, else null. */
  private Slice terminator;

  private boolean cancelled;
  private Runnable onAvailable = () -> {};

  /** Sets what to do whenever a piece has come; some may be there already. For any thread. */
  public synchronized void onAvailable(Runnable action) {
    onAvailable = action;
  }

  /**
   * Adds a piece, waiting for room. For the one producer.
   *
   * @throws IOException if nobody wants the answer any more
   */
  public void put(Slice piece) throws IOException {
    synchronized (this) {
      try {
        while (heldBytes >= CAPACITY_BYTES && !cancelled) {
          wait();
        }
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        cancelled = true;
      }
      if (cancelled) {
        throw new IOException("nobody takes this answer any more");
      }
      pieces.add(piece);
      heldBytes += piece.length();
    }
    notifyTaker();
  }

  /** Marks the answer as whole: all pieces have been put. */
  public void end() {
    finish(END);
  }

  /** Marks the answer as broken off: no further piece will come, though it is not whole. */
  public void abort() {
    finish(ABORTED);
  }

  private void finish(Slice how) {
    synchronized (this) {
      if (terminator == null) {
        terminator = how;
      }
    }
    notifyTaker();
  }

  private void notifyTaker() {
    Runnable action;
    synchronized (this) {
      action = onAvailable;
    }
    action.run();
  }

  /** Takes the next piece, {@link #END}, {@link #ABORTED}, or null if none is there yet. */
  public synchronized Slice next() {
    Slice piece = pieces.poll();
    if (piece == null) {
      return terminator;
    }
    heldBytes -= piece.length();
    notifyAll();
    return piece;
  }

  @Override
  public synchronized void cancel() {
    cancelled = true;
    pieces.clear();
    notifyAll();
  }
}
