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
 * command counts from its last byte, however long the command waits in the buffer. Poller thread
 * only.
 */
final class ClientInputBuffer {
  /** Maximum number of unprocessed bytes; more input stays in the socket. */
  static final int READ_AHEAD_BYTES = 16 * 1024;

  private record Arrival(long upToByte, long atNanos) {}

  private final InputBuffer buffer = new InputBuffer();
  private final RespReader reader = new RespReader(RespReader.MAX_VALUE_BYTES);
  private final Deque<Arrival> arrivals = new ArrayDeque<>(2);
  private long receivedBytes;
  private long lastArrivedAtNanos;

  /** Whether the buffer holds only a part of one command, whose last byte is yet to arrive. */
  private boolean onlyPartial = true;

  /**
   * Reads the available bytes.
   *
   * @param arrivedAtNanos the earliest time at which the bytes can have arrived
   * @param largeAllowed whether a large command may be read completely
   * @return the number of bytes read, or a negative number at the end of the stream
   */
  int fill(SocketChannel from, long arrivedAtNanos, boolean largeAllowed) throws IOException {
    int total = 0;
    int bytes = 1;
    while (bytes > 0 && wantsMore(largeAllowed)) {
      int freeBytes = Math.min(Sockets.MAX_TRANSFER_BYTES, buffer.ensureRoom());
      bytes = from.read(ByteBuffer.wrap(buffer.array(), buffer.end(), freeBytes));
      if (bytes > 0) {
        buffer.filled(bytes);
        total += bytes;
      }
    }
    if (total > 0) {
      receivedBytes += total;
      if (onlyPartial) {
        arrivals.clear();
      }
      arrivals.add(new Arrival(receivedBytes, arrivedAtNanos));
    }
    return bytes < 0 ? bytes : total;
  }

  /**
   * Whether there is room for more bytes. Behind a large command one more byte is read, to detect
   * the end of the stream.
   */
  boolean wantsMore(boolean largeAllowed) {
    return buffer.size() < READ_AHEAD_BYTES
        || (largeAllowed && buffer.size() <= buffer.expectedBytes());
  }

  /** Removes and returns the next complete command, or returns null if there is none. */
  RespValue next() throws ProtocolException {
    RespValue command = reader.next(buffer);
    onlyPartial = command == null;
    if (command != null) {
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

  /** Whether the next command is known to be a large one. */
  boolean holdsLargeCommand() {
    return buffer.isLarge();
  }
}
