package beaconturn.net.io;

import beaconturn.core.StreamingResponse;
import beaconturn.protocol.Slice;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * What stands between the thread that reads a large answer and the client that takes it: a few
 * pieces at the most. The reader waits while it is full; whoever writes to the client never waits.
 */
public final class BoundedPipe implements StreamingResponse {
  /** In the place of a piece: all of the answer has been taken. */
  public static final Slice END = Slice.of("");

  /** In the place of a piece: the answer broke off. */
  public static final Slice BROKEN = Slice.of("");

  private static final int MOST = 32 * 1024;

  private final Deque<Slice> pieces = new ArrayDeque<>();
  private int held;
  private Slice last;
  private boolean cancelled;
  private Runnable taker = () -> {};

  /** Says what to do whenever a piece has come; some may be there already. */
  public synchronized void whenMore(Runnable action) {
    taker = action;
  }

  /** Adds a piece, waiting for room; fails once nobody wants it. For the one producer. */
  public void put(Slice piece) throws IOException {
    synchronized (this) {
      try {
        while (held >= MOST && !cancelled) {
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
      held += piece.length();
    }
    tell();
  }

  /** All pieces have been put. */
  public void end() {
    finish(END);
  }

  /** No further piece will come, though the answer is not whole. */
  public void breakOff() {
    finish(BROKEN);
  }

  private void finish(Slice how) {
    synchronized (this) {
      last = last == null ? how : last;
    }
    tell();
  }

  private void tell() {
    Runnable then;
    synchronized (this) {
      then = taker;
    }
    then.run();
  }

  /** The next piece, {@link #END}, {@link #BROKEN}, or null if none is there yet. */
  public synchronized Slice next() {
    Slice piece = pieces.poll();
    if (piece == null) {
      return last;
    }
    held -= piece.length();
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
