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
 * Reads one client's commands and passes them to the handler one by one, as far as there is
 * capacity for their responses. Input is read ahead of throttled commands, so that a close by the
 * client is detected. Memory is reserved for large commands; if there is none, the value of a
 * command is discarded as it arrives.
 *
 * <p>For the poller thread, except for methods that say otherwise.
 */
final class CommandReader {
  /** Limit on the input discarded after a protocol error, so that the error response can arrive. */
  private static final int DISCARD_LIMIT_BYTES = 32 * 1024;

  /** Commands of up to this size are kept without a reservation of memory. */
  private static final int SMALL_COMMAND_BYTES = 4 * 1024;

  private final SocketChannel channel;
  private final Clock clock;
  private final ConnectionState state;
  private final ClientWriter writer;
  private final LargeRequestMemory memory;
  private final Runnable onMemoryRevoked;
  private final Consumer<ReceivedCommand> handler;

  private final Consumer<ReceivedCommand> rejectionHandler;

  // Written by the poller thread, read by any thread.
  private final InputBacklog backlog = new InputBacklog();
  private final PartialCommand partial = new PartialCommand();
  private volatile boolean commandReceived;
  private volatile boolean throttled;

  // Poller thread only.
  private final ClientInputBuffer input = new ClientInputBuffer();
  private final CommandRateLimit rateLimit;
  private int discardedBytes;
  private int commandsProcessed;

  /** How long input was last left unread. */
  private long unreadForNanos;

  /** The memory for the large command that is arriving, or null if none is reserved. */
  private MemoryReservation reservation;

  CommandReader(
      SocketChannel channel,
      Clock clock,
      ConnectionState state,
      ClientWriter writer,
      LargeRequestMemory memory,
      SharedCommandRate sharedRate,
      Runnable onMemoryRevoked,
      Consumer<ReceivedCommand> handler,
      Consumer<ReceivedCommand> rejectionHandler) {
    this.channel = channel;
    this.clock = clock;
    this.state = state;
    this.writer = writer;
    this.memory = memory;
    this.onMemoryRevoked = onMemoryRevoked;
    this.handler = handler;
    this.rejectionHandler = rejectionHandler;
    this.rateLimit = new CommandRateLimit(clock, sharedRate);
  }

  /** The command that has partially arrived. For any thread. */
  PartialCommand partial() {
    return partial;
  }

  /** Whether the client has sent a complete command yet. For any thread. */
  boolean hasReceivedCommand() {
    return commandReceived;
  }

  /** Whether commands wait for pipeline capacity or for the rate limit. For any thread. */
  boolean isThrottled() {
    return throttled;
  }

  int commandsProcessed() {
    return commandsProcessed;
  }

  /** Counts the current command as rejected; above the limit the next commands are throttled. */
  void recordRejection() {
    rateLimit.recordRejection();
  }

  /** Input that may lie unread in the socket. For any thread. */
  InputBacklog backlog() {
    return backlog;
  }

  /**
   * Whether the socket is to be watched for bytes. Throttled commands do not stop reading before
   * the read-ahead is full; from then on {@link #rejectWaiting} reads on.
   */
  boolean wantsToRead() {
    if (state.isClosing()) {
      return discardsInput() && (!isDiscardLimitReached() || !backlog.exists());
    }
    return input.wantsMore(allowedBytes());
  }

  private void recordBacklog(boolean readToEnd, long arrivedAtNanos) {
    if (!readToEnd) {
      // What is left may have arrived, and the client may have left, as early as what was read.
      backlog.mayRemain(arrivedAtNanos);
    } else if (backlog.exists()) {
      unreadForNanos = backlog.ageNanos(clock.now());
      backlog.cleared();
    }
  }

  /** How long input was last left unread, 0 for never. */
  long unreadForNanos() {
    return unreadForNanos;
  }

  /** The number of bytes that were read and not processed. */
  int unprocessedBytes() {
    return input.size();
  }

  /** How much of the command that is arriving may be in memory. */
  private int allowedBytes() {
    return reservation == null ? ClientInputBuffer.READ_AHEAD_BYTES : reservation.bytes();
  }

  /**
   * Reads the available bytes.
   *
   * @param arrivedAtNanos the earliest time at which the bytes can have arrived
   * @return the number of bytes read, or a negative number at the end of the stream
   */
  int fill(long arrivedAtNanos) throws IOException {
    long earliestNanos = Math.min(arrivedAtNanos, backlog.sinceNanos());
    int bytes = input.fill(channel, earliestNanos, allowedBytes());
    if (bytes > 0) {
      partial.bytesArrived(clock.now());
    }
    recordBacklog(input.wasReadToEnd(), earliestNanos);
    return bytes;
  }

  /**
   * Leaves input in the socket while reading is suspended. Between two commands one byte is read,
   * by which the end of the stream is detected unless input precedes it.
   *
   * @param arrivedAtNanos the earliest time at which the input can have arrived
   * @return false at the end of the stream
   */
  boolean leaveUnread(long arrivedAtNanos) throws IOException {
    if (!partial.exists()) {
      int bytes = input.fillOneByte(channel, arrivedAtNanos);
      if (bytes <= 0) {
        return bytes == 0;
      }
      partial.bytesArrived(clock.now());
    }
    backlog.mayRemain(arrivedAtNanos);
    return true;
  }

  /**
   * Rejects the commands that wait and reads on, until the input has been read to its end or that
   * many bytes have been read.
   *
   * @param arrivedAtNanos the earliest time at which the bytes can have arrived
   * @return the number of bytes read, or a negative number at the end of the stream
   * @throws ProtocolException if the input cannot be split into commands
   */
  int rejectWaiting(int maxBytes, long arrivedAtNanos) throws IOException, ProtocolException {
    int total = 0;
    int bytes = 0;
    while (bytes >= 0 && total < maxBytes && backlog.exists() && state.acceptsCommands()) {
      RespValue command = input.next();
      while (command != null) {
        take(command, rejectionHandler);
        command = input.next();
      }
      if (!input.wantsMore(allowedBytes())) {
        reserveOrDiscard();
      }
      bytes = fill(arrivedAtNanos);
      total += Math.max(0, bytes);
    }
    return bytes < 0 ? bytes : total;
  }

  /** Whether the connection is closing after a protocol error and discards further input. */
  boolean discardsInput() {
    return state.closeReason() == CloseReason.PROTOCOL_ERROR;
  }

  /**
   * Reads and discards a part of the input after a protocol error. Unread bytes would cause a reset
   * that can cut off the error response.
   *
   * @return the number of bytes read, or a negative number at the end of the stream
   */
  int discard() throws IOException {
    int bytes = channel.read(ByteBuffer.allocate(Sockets.MAX_TRANSFER_BYTES));
    discardedBytes = Math.min(DISCARD_LIMIT_BYTES, discardedBytes + Math.max(0, bytes));
    recordBacklog(bytes <= 0, clock.now());
    return bytes;
  }

  /**
   * Whether as much input has been discarded as is discarded at once: reading without a bound would
   * let one client occupy the poller.
   */
  boolean isDiscardLimitReached() {
    return discardedBytes >= DISCARD_LIMIT_BYTES;
  }

  /**
   * Processes the complete commands in the buffer, as far as there is capacity for their responses.
   *
   * @throws ProtocolException if the input cannot be split into commands
   */
  void processCommands() throws ProtocolException {
    RespValue command = nextCommand();
    while (command != null) {
      rateLimit.recordCommand();
      take(command, handler);
      command = nextCommand();
    }
    if (!throttled && state.acceptsCommands() && !input.wantsMore(allowedBytes())) {
      reserveOrDiscard();
    }
  }

  private void take(RespValue command, Consumer<ReceivedCommand> commandHandler) {
    commandsProcessed++;
    commandReceived = true;
    commandHandler.accept(received(command));
    updatePartial();
  }

  /**
   * Lets reading go on, which has stopped within a command because of its size: reserves memory for
   * the long argument that is arriving, or discards it.
   *
   * @throws ProtocolException if the command is longer than any request, whose long argument is its
   *     last
   */
  private void reserveOrDiscard() throws ProtocolException {
    if (reservation == null && input.hasDiscardableValue()) {
      reservation =
          memory.reserveForArriving(input.expectedBytes(), clock.now(), this::memoryRevoked);
      if (reservation == null) {
        input.discardValue();
      }
    }
    if (!input.wantsMore(allowedBytes())) {
      throw new ProtocolException("command too long");
    }
  }

  private void memoryRevoked() {
    reservation = null;
    input.discardValue();
    onMemoryRevoked.run();
  }

  private ReceivedCommand received(RespValue command) {
    boolean outOfMemory = input.valueDiscarded();
    int bytes = command.frame().length();
    if (reservation != null) {
      reservation.requestComplete();
    } else if (!outOfMemory && bytes > SMALL_COMMAND_BYTES) {
      reservation = memory.reserveForComplete(bytes, clock.now());
      outOfMemory = reservation == null;
    }
    MemoryReservation transferred = reservation;
    reservation = null;
    return new ReceivedCommand(command, input.lastArrivedAtNanos(), transferred, outOfMemory);
  }

  /** Releases the memory of a command that is arriving and will not be processed. */
  void releaseMemory() {
    if (reservation != null) {
      reservation.release();
      reservation = null;
    }
  }

  private void updatePartial() {
    if (input.isEmpty()) {
      partial.completed();
    } else {
      partial.nextStarted(clock.now());
    }
  }

  private RespValue nextCommand() throws ProtocolException {
    if (!state.acceptsCommands()) {
      return null;
    }
    // Set before the check: the thread that writes a response and frees capacity must see that a
    // command waits for it.
    throttled = true;
    if (!writer.hasCapacity() || rateLimit.isExceeded()) {
      return null;
    }
    throttled = false;
    return input.next();
  }

  /** Stops reading commands after a protocol error; what follows is discarded. */
  void stopReading() {
    releaseMemory();
    throttled = false;
  }
}
