package beaconturn.net.client;

import beaconturn.core.Clock;
import beaconturn.net.io.BoundedPipe;
import beaconturn.net.io.Sockets;
import beaconturn.protocol.Slice;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Objects;

/**
 * Writes a client's answers in the order of the commands, on whatever thread has the next one. Any
 * thread may call any method; none waits: what the client does not take yet is written when the
 * poller says that it can be.
 */
final class ClientWriter {
  /** In the place of an answer: the output ends here. */
  static final Slice END = Slice.of("");

  private static final int MAX_PIPELINED = 32;

  /**
   * Answers may be this many behind one that its client is slow to take; else they would fill the
   * heap.
   */
  private static final int MAX_PIPELINED_BEHIND_BLOCKED = 2;

  private static final long NEVER = Long.MAX_VALUE;

  /** Told of what a writer has done; called without a lock, on any thread. */
  interface WriteListener {
    /** Some answers have been written, or could not be; {@code idle} if none is owed any more. */
    void answersWritten(boolean idle);
  }

  private final SocketChannel channel;
  private final Clock clock;
  private final WriteListener listener;
  // Guarded by this.
  private final Deque<ResponseSlot> slots = new ArrayDeque<>(2);
  private ByteBuffer pending;
  private long writingSinceNanos = NEVER;
  private int unanswered;
  private boolean ending;
  private EndReason brokenBy;
  private long idleSinceNanos;
  private long outputEndedAtNanos = NEVER;

  ClientWriter(SocketChannel channel, Clock clock, WriteListener listener) {
    this.channel = channel;
    this.clock = clock;
    this.listener = listener;
    this.idleSinceNanos = clock.now();
  }

  /**
   * Since when no answer is owed, or {@code Long.MAX_VALUE} if one is, or the connection is ending.
   */
  synchronized long idleSinceNanos() {
    return unanswered == 0 && !ending ? idleSinceNanos : NEVER;
  }

  /** Since when an answer is being written, or {@code Long.MAX_VALUE} if none is. */
  synchronized long writingSinceNanos() {
    return writingSinceNanos;
  }

  /** Since when the client is awaited to close its end, or {@code Long.MAX_VALUE} if it is not. */
  synchronized long outputEndedAtNanos() {
    return outputEndedAtNanos;
  }

  /** How many answers are owed. */
  synchronized int owed() {
    return unanswered;
  }

  /** Whether an answer waits for its client to take more. */
  synchronized boolean isBlocked() {
    return pending != null;
  }

  /** Why the connection has failed under an answer, or null if it has not. */
  synchronized EndReason brokenBy() {
    return brokenBy;
  }

  /**
   * Whether the next command may be read; if not, the listener hears of it when something is
   * written.
   */
  synchronized boolean hasRoom() {
    return unanswered <= MAX_PIPELINED
        && (pending == null || unanswered <= MAX_PIPELINED_BEHIND_BLOCKED);
  }

  /** Gives the slot the next place; false if the connection is ending and takes no more. */
  boolean take(ResponseSlot slot) {
    synchronized (this) {
      if (ending) {
        return false;
      }
      unanswered++;
      slots.add(slot);
    }
    slot.whenFilled(this::write);
    return true;
  }

  /**
   * Ends the connection if no answer is owed; false if one is. Only its sending: closing all of it
   * would reset it under a request that crosses, and with it the last answer on its way.
   */
  boolean finishIfIdle() {
    synchronized (this) {
      if (idleSinceNanos() == NEVER) {
        return false;
      }
      ending = true;
    }
    endOutput();
    return true;
  }

  /** Ends the sending after what is owed. */
  void finish() {
    synchronized (this) {
      if (ending) {
        return;
      }
      ending = true;
      slots.add(ResponseSlot.of(END));
    }
    write();
  }

  /**
   * Drops all that waits to be written, as the connection is closed.
   *
   * @return how many answers that were
   */
  synchronized int abandon() {
    ending = true;
    slots.stream().map(ResponseSlot::stream).filter(Objects::nonNull).forEach(BoundedPipe::cancel);
    slots.clear();
    pending = null;
    writingSinceNanos = NEVER;
    return unanswered;
  }

  /** Writes what there is of the answers, up to the first that is not there yet. */
  void write() {
    int owedBefore;
    int owedAfter;
    boolean notifyListener;
    synchronized (this) {
      owedBefore = unanswered;
      try {
        flush();
      } catch (BrokenOffException e) {
        breakUnder(EndReason.ANSWER_BROKE_OFF);
      } catch (IOException e) {
        breakUnder(EndReason.CLIENT_LEFT);
      }
      owedAfter = unanswered;
      notifyListener = brokenBy != null || pending != null || owedAfter < owedBefore;
    }
    if (notifyListener) {
      listener.answersWritten(owedAfter == 0 && owedBefore > 0);
    }
  }

  private void breakUnder(EndReason reason) {
    brokenBy = reason;
    abandon();
  }

  /** Thrown where an answer that has begun to go out will not be whole. */
  private static final class BrokenOffException extends IOException {
    private static final long serialVersionUID = 1L;

    BrokenOffException() {
      super("the answer broke off");
    }
  }

  private void flush() throws IOException {
    while (pending != null || nextPiece()) {
      int from = pending.position();
      boolean writtenWhole = Sockets.writeSome(channel, pending);
      // From the last byte that the client took: a large answer may take long as long as it goes
      // on.
      if (pending.position() > from || writingSinceNanos == NEVER) {
        writingSinceNanos = clock.now();
      }
      if (!writtenWhole) {
        return;
      }
      pending = null;
      writingSinceNanos = NEVER;
      if (slots.peek().stream() == null) {
        completeFirst();
      }
    }
  }

  /** Notes that the first answer has gone out whole. */
  private void completeFirst() {
    slots.poll();
    unanswered--;
    idleSinceNanos = clock.now();
  }

  /**
   * Takes what is to be written next, if it is there; answers that are streamed give a piece at a
   * time.
   */
  private boolean nextPiece() throws IOException {
    while (!slots.isEmpty()) {
      Slice piece = slots.peek().nextPiece();
      if (piece == null) {
        return false;
      }
      if (piece == BoundedPipe.BROKEN) {
        throw new BrokenOffException();
      }
      if (piece == END) {
        slots.poll();
        endOutput();
        return false;
      }
      if (piece != BoundedPipe.END) {
        pending = ByteBuffer.wrap(piece.array(), piece.from(), piece.length());
        return true;
      }
      completeFirst();
    }
    return false;
  }

  private void endOutput() {
    synchronized (this) {
      outputEndedAtNanos = Math.min(outputEndedAtNanos, clock.now());
    }
    try {
      channel.shutdownOutput();
    } catch (IOException e) {
      Sockets.close(channel);
    }
  }
}
