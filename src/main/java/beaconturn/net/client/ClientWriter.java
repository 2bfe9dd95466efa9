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
 * Writes a client's answers in the order of the commands, on whatever thread has the next one.
 * Never waits: what the client does not take yet is written when the poller says that it can be.
 */
final class ClientWriter {
  /** In the place of an answer: nothing more is written. */
  static final Slice END = Slice.of("");

  private static final int MOST_PIPELINED = 32;

  /**
   * Answers may be this many behind one that its client is slow to take; else they would fill the
   * heap.
   */
  private static final int MOST_BEHIND = 2;

  private static final long NEVER = Long.MAX_VALUE;

  /** What a writer tells its connection; called without a lock, on any thread. */
  interface Owner {
    /** Some answers have been written, or could not be; {@code quiet} if none is owed any more. */
    void written(boolean quiet);
  }

  private final SocketChannel channel;
  private final Clock clock;
  private final Owner owner;
  // Guarded by this:
  private final Deque<ResponseSlot> replies = new ArrayDeque<>(2);
  private ByteBuffer pending;
  private long writingSince = NEVER;
  private int unanswered;
  private boolean ending;
  private EndReason brokenBy;
  private long quietSince;
  private long closingSince = NEVER;

  ClientWriter(SocketChannel channel, Clock clock, Owner owner) {
    this.channel = channel;
    this.clock = clock;
    this.owner = owner;
    this.quietSince = clock.now();
  }

  /**
   * Since when no answer is owed, or {@code Long.MAX_VALUE} if one is, or the connection is ending.
   */
  synchronized long quietSince() {
    return unanswered == 0 && !ending ? quietSince : NEVER;
  }

  /** Since when an answer is being written, or {@code Long.MAX_VALUE} if none is. */
  synchronized long writingSince() {
    return writingSince;
  }

  /** Since when the client is awaited to close its end, or {@code Long.MAX_VALUE} if it is not. */
  synchronized long closingSince() {
    return closingSince;
  }

  /** How many answers are owed. */
  synchronized int owed() {
    return unanswered;
  }

  /** Whether an answer waits for its client to take more. */
  synchronized boolean stuck() {
    return pending != null;
  }

  /** Why the connection has failed under an answer, or null if it has not. */
  synchronized EndReason brokenBy() {
    return brokenBy;
  }

  /**
   * Whether the next command may be read; if not, the owner hears of it when something is written.
   */
  synchronized boolean hasRoom() {
    return unanswered <= MOST_PIPELINED && (pending == null || unanswered <= MOST_BEHIND);
  }

  /** Gives the reply the next place; false if the connection is ending and takes no more. */
  boolean take(ResponseSlot reply) {
    synchronized (this) {
      if (ending) {
        return false;
      }
      unanswered++;
      replies.add(reply);
    }
    reply.whenFilled(this::write);
    return true;
  }

  /**
   * Ends the connection if no answer is owed; false if one is. Only its sending: closing all of it
   * would reset it under a request that crosses, and with it the last answer on its way.
   */
  boolean finishIfQuiet() {
    synchronized (this) {
      if (quietSince() == NEVER) {
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
      replies.add(ResponseSlot.of(END));
    }
    write();
  }

  /**
   * The connection is closed: nothing of what waits will be written. How many answers that were.
   */
  synchronized int abandon() {
    ending = true;
    replies.stream().map(ResponseSlot::flow).filter(Objects::nonNull).forEach(BoundedPipe::cancel);
    replies.clear();
    pending = null;
    writingSince = NEVER;
    return unanswered;
  }

  /** Writes what there is of the answers, up to the first that is not there yet. */
  void write() {
    int before;
    int after;
    boolean tell;
    synchronized (this) {
      before = unanswered;
      try {
        flush();
      } catch (BrokenOffException e) {
        fail(EndReason.ANSWER_BROKE_OFF);
      } catch (IOException e) {
        fail(EndReason.CLIENT_LEFT);
      }
      after = unanswered;
      tell = brokenBy != null || pending != null || after < before;
    }
    if (tell) {
      owner.written(after == 0 && before > 0);
    }
  }

  private void fail(EndReason reason) {
    brokenBy = reason;
    abandon();
  }

  /** What had begun to go out will not be whole. */
  private static final class BrokenOffException extends IOException {
    private static final long serialVersionUID = 1L;

    BrokenOffException() {
      super("the answer broke off");
    }
  }

  private void flush() throws IOException {
    while (pending != null || nextPiece()) {
      int from = pending.position();
      boolean all = Sockets.writeSome(channel, pending);
      // From the last byte that the client took: a large answer may take long as long as it goes
      // on.
      writingSince =
          pending.position() > from || writingSince == NEVER ? clock.now() : writingSince;
      if (!all) {
        return;
      }
      pending = null;
      writingSince = NEVER;
      if (replies.peek().flow() == null) {
        answered();
      }
    }
  }

  /** The first answer has gone out whole. */
  private void answered() {
    replies.poll();
    unanswered--;
    quietSince = clock.now();
  }

  /**
   * Takes what is to be written next, if it is there; answers that come by and by give a piece at a
   * time.
   */
  private boolean nextPiece() throws IOException {
    while (!replies.isEmpty()) {
      Slice piece = replies.peek().nextPiece();
      if (piece == null) {
        return false;
      }
      if (piece == BoundedPipe.BROKEN) {
        throw new BrokenOffException();
      }
      if (piece == END) {
        replies.poll();
        endOutput();
        return false;
      }
      if (piece != BoundedPipe.END) {
        pending = ByteBuffer.wrap(piece.array(), piece.from(), piece.length());
        return true;
      }
      answered();
    }
    return false;
  }

  private void endOutput() {
    synchronized (this) {
      closingSince = Math.min(closingSince, clock.now());
    }
    try {
      channel.shutdownOutput();
    } catch (IOException e) {
      Sockets.close(channel);
    }
  }
}
