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
 * The input of one client that nobody has handled yet. All that the kernel holds is read before a
 * command is taken from it, as far as there is room, so that the end of the stream is seen before
 * the commands in front of it are handled. Remembers when bytes arrived: a command's time runs from
 * its last byte, however long it waits to be handled. Poller thread only.
 */
final class ClientInputBuffer {
  /** So much is read ahead of what is handled; a client that sends on behind it waits. */
  static final int READ_AHEAD_BYTES = 16 * 1024;

  private record Arrival(long upToByte, long atNanos) {}

  private final InputBuffer buffer = new InputBuffer();
  private final RespReader reader = new RespReader(RespReader.MAX_VALUE_BYTES);
  private final Deque<Arrival> arrivals = new ArrayDeque<>(2);
  private long receivedBytes;
  private long lastArrivedAtNanos;

  /** Whether all that is here is a part of one command: its last byte is yet to come. */
  private boolean onlyPartial = true;

  /**
   * Reads what is there.
   *
   * @param arrivedAtNanos the earliest time at which the bytes can have come
   * @param largeAllowed whether a large command may be read whole
   * @return how many bytes came, or less than none if the client has ended its sending
   */
  int fill(SocketChannel from, long arrivedAtNanos, boolean largeAllowed) throws IOException {
    int total = 0;
    int bytes = 1;
    while (bytes > 0 && wantsMore(largeAllowed)) {
      int room = Math.min(Sockets.MAX_TRANSFER_BYTES, buffer.ensureRoom());
      bytes = from.read(ByteBuffer.wrap(buffer.array(), buffer.end(), room));
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
   * Whether there is room for more, or the end of the stream is still to be looked for behind a
   * large command.
   */
  boolean wantsMore(boolean largeAllowed) {
    return buffer.size() < READ_AHEAD_BYTES
        || (largeAllowed && buffer.size() <= buffer.expectedBytes());
  }

  /** Takes the next command that is whole, or returns null. */
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

  /** When the last byte of the command taken last arrived. */
  long lastArrivedAtNanos() {
    return lastArrivedAtNanos;
  }

  /** Whether nothing is left. */
  boolean isEmpty() {
    return buffer.size() == 0;
  }

  /** Whether the command at hand is known to be a large one. */
  boolean holdsLargeCommand() {
    return buffer.isLarge();
  }
}
