package beaconturn.net.client;

import beaconturn.core.Clock;
import beaconturn.net.io.Sockets;
import beaconturn.protocol.ProtocolException;
import beaconturn.protocol.RespValue;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.function.Consumer;

/**
 * Reads one client's commands and hands them over one by one, as far as there is room for their
 * answers. Reading goes on ahead of commands that wait, so that the client's close is seen.
 *
 * <p>For the poller's thread, except for the methods that say otherwise.
 */
final class CommandReader {
  /** How much of what follows malformed input is read, so that the error before it can arrive. */
  private static final int DISCARD_LIMIT_BYTES = 32 * 1024;

  private final SocketChannel channel;
  private final Clock clock;
  private final ConnectionState state;
  private final ClientWriter writer;
  private final LargeRequestPermits largePermits;
  private final Consumer<RespValue> handler;

  // Written by the poller's thread, read by any.
  private final PartialCommand partial = new PartialCommand();
  private volatile boolean commandSeen;
  private volatile boolean waitsForRoom;

  // Poller thread only.
  private final ClientInputBuffer input = new ClientInputBuffer();
  private final RejectionRateLimit rejections;
  private int discardedBytes;
  private int commandsTaken;

  CommandReader(
      SocketChannel channel,
      Clock clock,
      ConnectionState state,
      ClientWriter writer,
      LargeRequestPermits largePermits,
      Consumer<RespValue> handler) {
    this.channel = channel;
    this.clock = clock;
    this.state = state;
    this.writer = writer;
    this.largePermits = largePermits;
    this.handler = handler;
    this.rejections = new RejectionRateLimit(clock);
  }

  /** The command that has begun to arrive. For any thread. */
  PartialCommand partial() {
    return partial;
  }

  /** Whether the client has sent a whole command yet. For any thread. */
  boolean commandSeen() {
    return commandSeen;
  }

  /**
   * Whether commands wait for room among the answers, for the pace of rejections, or for a permit
   * for a large request. For any thread.
   */
  boolean waitsForRoom() {
    return waitsForRoom;
  }

  /** How many whole commands have been taken so far. */
  int commandsTaken() {
    return commandsTaken;
  }

  /** When the last byte of the command at hand arrived. */
  long lastArrivedAtNanos() {
    return input.lastArrivedAtNanos();
  }

  /** Notes that the command at hand was rejected; too many of them have the next ones wait. */
  void noteRejection() {
    rejections.note();
  }

  /**
   * Whether the socket is to be watched for bytes. While commands wait for room reading goes on
   * ahead, to see a client's close.
   */
  boolean wantsToRead() {
    if (state.isEnding()) {
      return discards() && !waitsForRoom;
    }
    return input.wantsMore(largePermits.forCommandAtHand());
  }

  /**
   * Reads what the socket holds.
   *
   * @param arrivedAtNanos the earliest time at which the bytes can have come
   * @return how many bytes came, or less than none if the client has ended its sending
   */
  int fill(long arrivedAtNanos) throws IOException {
    int bytes = input.fill(channel, arrivedAtNanos, largePermits.forCommandAtHand());
    if (bytes > 0) {
      partial.bytesArrived(clock.now());
    }
    return bytes;
  }

  /** Whether the connection ends over its input, of which a little more is read and dropped. */
  boolean discards() {
    return state.endReason() == EndReason.MALFORMED;
  }

  /**
   * Reads on a little behind malformed input, without looking: unread bytes would reset the error
   * on its way. Not to the end, which clients that send without end or 60 MB don't reach: they
   * would have the processor to themselves.
   *
   * @return false once the client has ended its sending, or enough has been read
   */
  boolean discard() throws IOException {
    int bytes = channel.read(ByteBuffer.allocate(Sockets.MAX_TRANSFER_BYTES));
    discardedBytes += bytes;
    return bytes >= 0 && discardedBytes < DISCARD_LIMIT_BYTES;
  }

  /**
   * Hands over the commands that are whole, as far as there is room for their answers.
   *
   * @throws ProtocolException if what came cannot be split into commands
   */
  void handOverCommands() throws ProtocolException {
    RespValue command = nextCommand();
    while (command != null) {
      commandsTaken++;
      commandSeen = true;
      largePermits.commandCompleted();
      handler.accept(command);
      notePartial();
      command = nextCommand();
    }
    if (input.holdsLargeCommand() && !largePermits.forCommandAtHand() && state.takesCommands()) {
      // Without a permit the command waits unread until the poller turns to it again; the time for
      // a command does not run meanwhile.
      if (!largePermits.tryAcquire()) {
        waitsForRoom = true;
      }
    }
  }

  private void notePartial() {
    if (input.isEmpty()) {
      partial.completed();
    } else {
      partial.completedBeforeNext(clock.now());
    }
  }

  private RespValue nextCommand() throws ProtocolException {
    if (!state.takesCommands()) {
      return null;
    }
    // Set before it is asked: who writes the answer that makes room must see that it is waited for.
    waitsForRoom = true;
    if (!writer.hasRoom() || rejections.exhausted()) {
      return null;
    }
    waitsForRoom = false;
    return input.next();
  }

  /**
   * Input that cannot be split into commands has ended the connection. While answers are owed, what
   * follows stays unread; after that it waits until the sweep closes the connection.
   */
  void inputEnded(boolean answersOwed) {
    waitsForRoom = answersOwed;
  }
}
