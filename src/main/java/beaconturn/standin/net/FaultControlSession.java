package beaconturn.standin.net;

import beaconturn.protocol.InputBuffer;
import beaconturn.protocol.ProtocolException;
import beaconturn.protocol.Slice;
import java.nio.channels.SocketChannel;
import java.util.function.UnaryOperator;

/** One connection to the control port: a line in, its answer out, an empty line behind it. */
final class FaultControlSession extends NonBlockingConnection {
  private static final int LONGEST_LINE = 1024;
  private final UnaryOperator<String> orders;

  FaultControlSession(EventLoop loop, SocketChannel channel, UnaryOperator<String> orders) {
    super(loop, channel);
    this.orders = orders;
  }

  @Override
  protected void parse(InputBuffer buffer) throws ProtocolException {
    for (int end = lineEnd(buffer); end >= 0; end = lineEnd(buffer)) {
      String line = buffer.slice(0, end).toString();
      buffer.consume(end + 1);
      write(Slice.of(orders.apply(line) + "\n\n"));
    }
    if (buffer.size() > LONGEST_LINE) {
      throw new ProtocolException("line over " + LONGEST_LINE + " bytes");
    }
  }

  private static int lineEnd(InputBuffer buffer) {
    for (int i = 0; i < buffer.size(); i++) {
      if (buffer.at(i) == '\n') {
        return i;
      }
    }
    return -1;
  }

  @Override
  protected void unreadable(String why) {
    write(Slice.of("error: " + why + "\n\n"));
  }

  @Override
  protected void gone() {
    // Nothing is kept for a connection that gives orders.
  }
}
