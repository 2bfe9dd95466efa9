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
 * client is detected.
 *
 * <p>For the poller thread, except for methods that say otherwise.
 */
final class CommandReader {
  /** Limit on the input discarded after a protocol error, so that the error response can arrive. */
  private static final int DISCARD_LIMIT_BYTES = 32 * 1024;

  private final SocketChannel channel;
  private final Clock clock;
  private final ConnectionState state;
  private final ClientWriter writer;
  private final LargeRequestPermits largePermits;
  private final Consumer<RespValue> handler;

  // Written by the poller thread, read by any thread.
  private final PartialCommand partial = new PartialCommand();
  private volatile boolean commandReceived;
  private volatile boolean throttled;

  // Poller thread only.
  private final ClientInputBuffer input = new ClientInputBuffer();
  private final RejectionRateLimit rejections;
  private int discardedBytes;
  private int commandsProcessed;

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

  /** The command that has partially arrived. For any thread. */
  PartialCommand partial() {
    return partial;
  }

  /** Whether the client has sent a complete command yet. For any thread. */
  boolean hasReceivedCommand() {
    return commandReceived;
  }

  /**
   * Whether commands wait for pipeline capacity, for the rejection rate limit, or for a
   * large-request permit. For any thread.
   */
  boolean isThrottled() {
    return throttled;
  }

  int commandsProcessed() {
    return commandsProcessed;
  }

  /** When the last byte of the current command arrived. */
  long lastArrivedAtNanos() {
    return input.lastArrivedAtNanos();
  }

  /** Counts the current command as rejected; above the limit the next commands are throttled. */
  void recordRejection() {
    rejections.recordRejection();
  }

  /**
   * Whether the socket is to be watched for bytes. Throttled commands do not stop reading, so that
   * a close by the client is detected.
   */
  boolean wantsToRead() {
    if (state.isClosing()) {
      return discardsInput() && !throttled;
    }
    return input.wantsMore(largePermits.heldForCurrentCommand());
  }

  /**
   * Reads the available bytes.
   *
   * @param arrivedAtNanos the earliest time at which the bytes can have arrived
   * @return the number of bytes read, or a negative number at the end of the stream
   */
  int fill(long arrivedAtNanos) throws IOException {
    int bytes = input.fill(channel, arrivedAtNanos, largePermits.heldForCurrentCommand());
    if (bytes > 0) {
      partial.bytesArrived(clock.now());
    }
    return bytes;
  }

  /** Whether the connection is closing after a protocol error and discards further input. */
  boolean discardsInput() {
    return state.closeReason() == CloseReason.PROTOCOL_ERROR;
  }

  /**
   * Reads and discards a bounded part of the input after a protocol error. Unread bytes would cause
   * a reset that can cut off the error response; reading without a bound would let one client
   * occupy the poller.
   *
   * @return false at the end of the stream or once the limit is reached
   */
  boolean discard() throws IOException {
    int bytes = channel.read(ByteBuffer.allocate(Sockets.MAX_TRANSFER_BYTES));
    discardedBytes += bytes;
    return bytes >= 0 && discardedBytes < DISCARD_LIMIT_BYTES;
  }

  /**
   * Processes the complete commands in the buffer, as far as there is capacity for their responses.
   *
   * @throws ProtocolException if the input cannot be split into commands
   */
  void processCommands() throws ProtocolException {
    RespValue command = nextCommand();
    while (command != null) {
      commandsProcessed++;
      commandReceived = true;
      largePermits.commandCompleted();
      handler.accept(command);
      updatePartial();
      command = nextCommand();
    }
    if (input.holdsLargeCommand()
        && !largePermits.heldForCurrentCommand()
        && state.acceptsCommands()) {
      // Without a permit the command stays unread until the poller checks again; its timeout does
      // not run meanwhile.
      if (!largePermits.tryAcquire()) {
        throttled = true;
      }
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
    if (!writer.hasCapacity() || rejections.isExceeded()) {
      return null;
    }
    throttled = false;
    return input.next();
  }

  /**
   * Stops reading after a protocol error. If responses are outstanding, the input stays unread
   * until the sweep closes the connection; otherwise it is discarded up to a limit.
   */
  void stopReading(boolean responsesOutstanding) {
    throttled = responsesOutstanding;
  }
}
