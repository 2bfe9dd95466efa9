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
 * What a client has sent and nobody has handled yet. All that the kernel holds is read before a
 * command is taken from it, as far as there is room, so that the end of the stream is seen before
 * the commands in front of it are handled. Remembers when bytes arrived: a command's time runs from
 * its last byte, however long it waits to be handled. For one thread.
 */
final class ClientInputBuffer {
  /** So much is read ahead of what is handled; a client that sends on behind it waits. */
  static final int READ_AHEAD = 16 * 1024;

  private record Arrival(long upTo, long at) {}

  private final InputBuffer in = new InputBuffer();
  private final RespReader reader = new RespReader(RespReader.LONGEST_VALUE);
  private final Deque<Arrival> arrivals = new ArrayDeque<>(2);
  private long received;
  private long lastArrivedAt;

  /** Whether all that is here is a part of one command: its last byte is yet to come. */
  private boolean partial = true;

  /**
   * Reads what is there.
   *
   * @param arrivedAt the earliest time at which the bytes can have come
   * @param large whether a large command may be read whole
   * @return how many bytes came, or less than none if the client has ended its sending
   */
  int fill(SocketChannel from, long arrivedAt, boolean large) throws IOException {
    int all = 0;
    int got = 1;
    while (got > 0 && wantsMore(large)) {
      int room = Math.min(Sockets.LARGEST_STEP, in.room());
      got = from.read(ByteBuffer.wrap(in.array(), in.end(), room));
      if (got > 0) {
        in.filled(got);
        all += got;
      }
    }
    if (all > 0) {
      received += all;
      if (partial) {
        arrivals.clear();
      }
      arrivals.add(new Arrival(received, arrivedAt));
    }
    return got < 0 ? got : all;
  }

  /**
   * Whether there is room for more, or the end of the stream is still to be looked for behind a
   * large command.
   */
  boolean wantsMore(boolean large) {
    return in.size() < READ_AHEAD || (large && in.size() <= in.expected());
  }

  /** Takes the next command that is whole, or returns null. */
  RespValue next() throws ProtocolException {
    RespValue command = reader.next(in);
    partial = command == null;
    if (command != null) {
      long handled = received - in.size();
      while (arrivals.peek().upTo() < handled) {
        arrivals.remove();
      }
      lastArrivedAt = arrivals.peek().at();
    }
    return command;
  }

  /** When the last byte of the command taken last arrived. */
  long lastArrivedAt() {
    return lastArrivedAt;
  }

  /** Whether nothing is left. */
  boolean isEmpty() {
    return in.size() == 0;
  }

  /** Whether the command at hand is known to be a large one. */
  boolean large() {
    return in.large();
  }
}
