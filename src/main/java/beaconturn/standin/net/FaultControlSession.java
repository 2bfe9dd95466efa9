package beaconturn.standin.net;

import beaconturn.protocol.InputBuffer;
import beaconturn.protocol.ProtocolException;
import beaconturn.protocol.Slice;
import java.nio.channels.SocketChannel;
import java.util.function.UnaryOperator;

/** One connection to the control port: reads a command per line; an empty line ends each reply. */
final class FaultControlSession extends NonBlockingConnection {
  private static final int MAX_LINE_BYTES = 1024;
  private final UnaryOperator<String> commands;

  /**
   * Creates the session of a connection.
   *
   * @param commands executes a command and returns its reply
   */
  FaultControlSession(EventLoop loop, SocketChannel channel, UnaryOperator<String> commands) {
    super(loop, channel);
    this.commands = commands;
  }

  @Override
  protected void parse(InputBuffer buffer) throws ProtocolException {
    for (int end = lineEnd(buffer); end >= 0; end = lineEnd(buffer)) {
      String line = buffer.slice(0, end).toString();
      buffer.consume(end + 1);
      write(Slice.of(commands.apply(line) + "\n\n"));
    }
    if (buffer.size() > MAX_LINE_BYTES) {
      throw new ProtocolException("line over " + MAX_LINE_BYTES + " bytes");
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
  protected void invalidInput(String reason) {
    write(Slice.of("error: " + reason + "\n\n"));
  }

  @Override
  protected void connectionClosed() {
    // The session keeps no state.
  }
}
