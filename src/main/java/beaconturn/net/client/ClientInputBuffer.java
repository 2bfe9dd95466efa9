package beaconturn.net.client;

import beaconturn.net.io.Sockets;
import beaconturn.protocol.InputBuffer;
import beaconturn.protocol.ProtocolException;
import beaconturn.protocol.RespReader;
import beaconturn.protocol.RespValue;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Buffers the input of one client that is not yet processed. All bytes available from the socket
 * are read, up to a limit, before a command is taken, so that the end of the stream is detected
 * before the preceding commands are processed. Records when bytes arrived: the deadline of a
 * command counts from its last byte, however long the command waits in the buffer. A large command
 * may be read without its value, for lack of memory. Poller thread only.
 */
final class ClientInputBuffer {
  /** Maximum number of unprocessed bytes; more input stays in the socket. */
  static final int READ_AHEAD_BYTES = 16 * 1024;

  private record Arrival(long upToByte, long atNanos) {}

  private final InputBuffer buffer = new InputBuffer();
  private final RespReader reader = new RespReader(RespReader.MAX_VALUE_BYTES);
  private final Deque<Arrival> arrivals = new ArrayDeque<>(2);
  private long receivedBytes;

  /** Whether the last read found no more bytes. */
  private boolean readToEnd = true;

  private long lastArrivedAtNanos;

  /** Whether the buffer holds only a part of one command, whose last byte is yet to arrive. */
  private boolean onlyPartial = true;

  /** Bytes of a discarded value that are yet to arrive. */
  private int bytesToDiscard;

  /** Whether a value of the command that is arriving was discarded. */
  private boolean valueDiscarded;

  private boolean valueDiscardedInLast;

  /**
   * Reads the available bytes.
   *
   * @param arrivedAtNanos the earliest time at which the bytes can have arrived
   * @param allowedBytes how much of a large command may be read
   * @return the number of bytes read, or a negative number at the end of the stream
   */
  int fill(SocketChannel from, long arrivedAtNanos, int allowedBytes) throws IOException {
    int total = 0;
    int bytes = 1;
    while (bytes > 0 && wantsMore(allowedBytes)) {
      bytes =
          bytesToDiscard > 0
              ? discardFrom(from)
              : receiveFrom(from, allowedBytes, Sockets.MAX_TRANSFER_BYTES);
      readToEnd = bytes <= 0;
      total += Math.max(0, bytes);
    }
    recordArrival(total, arrivedAtNanos);
    return bytes < 0 ? bytes : total;
  }

  /**
   * Reads at most one byte, while no command is partially read: the end of the stream is detected,
   * and no command is read completely.
   *
   * @return the number of bytes read, or a negative number at the end of the stream
   */
  int fillOneByte(SocketChannel from, long arrivedAtNanos) throws IOException {
    int bytes = receiveFrom(from, READ_AHEAD_BYTES, 1);
    readToEnd = bytes <= 0;
    recordArrival(Math.max(0, bytes), arrivedAtNanos);
    return bytes;
  }

  private void recordArrival(int bytes, long atNanos) {
    if (bytes > 0) {
      receivedBytes += bytes;
      if (onlyPartial) {
        arrivals.clear();
      }
      arrivals.add(new Arrival(receivedBytes, atNanos));
    }
  }

  private int receiveFrom(SocketChannel from, int allowedBytes, int maxBytes) throws IOException {
    int room = buffer.ensureRoom(allowedBytes);
    int freeBytes = Math.min(maxBytes, room);
    int bytes = from.read(ByteBuffer.wrap(buffer.array(), buffer.end(), freeBytes));
    buffer.filled(Math.max(0, bytes));
    return bytes;
  }

  private int discardFrom(SocketChannel from) throws IOException {
    int maxBytes = Math.min(Sockets.MAX_TRANSFER_BYTES, bytesToDiscard);
    int bytes = from.read(ByteBuffer.allocate(maxBytes));
    bytesToDiscard -= Math.max(0, bytes);
    return bytes;
  }

  /**
   * Whether there is room for more bytes. Behind a large command one more byte is read, to detect
   * the end of the stream.
   */
  boolean wantsMore(int allowedBytes) {
    return bytesToDiscard > 0
        || buffer.size() < READ_AHEAD_BYTES
        || (buffer.expectedBytes() > READ_AHEAD_BYTES
            && buffer.expectedBytes() <= allowedBytes
            && buffer.size() <= buffer.expectedBytes());
  }

  /** Whether the last read found no more bytes, so that none were left in the socket. */
  boolean wasReadToEnd() {
    return readToEnd;
  }

  /** Removes and returns the next complete command, or returns null if there is none. */
  RespValue next() throws ProtocolException {
    RespValue command = reader.next(buffer);
    onlyPartial = command == null;
    if (command != null) {
      valueDiscardedInLast = valueDiscarded;
      valueDiscarded = false;
      long handledBytes = receivedBytes - buffer.size();
      while (arrivals.peek().upToByte() < handledBytes) {
        arrivals.remove();
      }
      lastArrivedAtNanos = arrivals.peek().atNanos();
    }
    return command;
  }

  /** When the last byte of the most recently returned command arrived. */
  long lastArrivedAtNanos() {
    return lastArrivedAtNanos;
  }

  boolean isEmpty() {
    return buffer.size() == 0;
  }

  /** The number of bytes that were read and not processed. */
  int size() {
    return buffer.size();
  }

  /** Whether a value of the most recently returned command was discarded. */
  boolean valueDiscarded() {
    return valueDiscardedInLast;
  }

  /** The minimum size of the command that is arriving if known, else 0. */
  int expectedBytes() {
    return buffer.expectedBytes();
  }

  /** Whether the command that is arriving has an argument that {@link #discardValue} discards. */
  boolean hasDiscardableValue() {
    return reader.hasIncompleteString();
  }

  /**
   * Discards the long argument of the command that is arriving, and what is yet to arrive of it.
   * The command is returned with an empty argument once its last byte has arrived.
   */
  void discardValue() {
    bytesToDiscard = reader.discardIncompleteString(buffer);
    valueDiscarded = true;
  }
}
