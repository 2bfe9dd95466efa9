package beaconturn.standin.net;

import beaconturn.protocol.InputBuffer;
import beaconturn.protocol.ProtocolException;
import beaconturn.protocol.Slice;
import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.Queue;

/**
 * One accepted connection on the event loop: parses the input that is available and queues output
 * that the peer does not take yet. Faults may suspend reading, or both reading and writing.
 */
abstract class NonBlockingConnection implements EventLoop.ChannelHandler {
  private static final int MAX_READS_PER_TURN = 64;
  private static final int MESSAGE_BUFFER_BYTES = 2048;
  protected final EventLoop loop;
  private final SocketChannel channel;
  private final InputBuffer in = new InputBuffer();
  private final Queue<ByteBuffer> out = new ArrayDeque<>();
  private SelectionKey key;
  private long firstByteNanos;

  /**
   * Time since which nothing was read, or -1. The next input may have been received at any time
   * since then.
   */
  private long unreadSinceNanos = -1;

  private boolean readSuspended;
  private boolean cutOff;
  private boolean closing;
  private boolean closed;

  NonBlockingConnection(EventLoop loop, SocketChannel channel) {
    this.loop = loop;
    this.channel = channel;
  }

  /** Registers the connection with the loop and starts to read. */
  void start() throws IOException {
    channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
    key = loop.register(channel, SelectionKey.OP_READ, this);
    updateInterest();
  }

  /** Declares that the first input may have been sent at any time since the given time. */
  void setUnreadSince(long sinceNanos) {
    unreadSinceNanos = sinceNanos;
  }

  /** Consumes all complete messages of the buffer. */
  protected abstract void parse(InputBuffer buffer) throws ProtocolException;

  /** Handles the end of the connection, closed by either side; called once. */
  protected abstract void connectionClosed();

  /** Handles input that is not a valid message; the connection is closed afterwards. */
  protected abstract void invalidInput(String reason);

  /** Returns when the first byte of the current message was received, at the earliest. */
  protected long firstByteNanos() {
    return firstByteNanos;
  }

  /** Notes that a message was consumed, so that the remaining bytes belong to the next one. */
  protected void messageConsumed() {
    firstByteNanos = arrivalNanos();
  }

  private long arrivalNanos() {
    return unreadSinceNanos >= 0 ? unreadSinceNanos : loop.scheduler().now();
  }

  @Override
  public void ready(SelectionKey ready) throws IOException {
    if (ready.isReadable()) {
      read();
    }
    if (!closed && ready.isValid() && ready.isWritable()) {
      flush();
    }
  }

  private void read() throws IOException {
    readAvailable();
    unreadSinceNanos = readSuspended || cutOff ? unreadSinceNanos : -1;
  }

  private void readAvailable() throws IOException {
    for (int i = 0; i < MAX_READS_PER_TURN && !closed && !readSuspended && !cutOff; i++) {
      boolean empty = in.size() == 0;
      int room = in.ensureRoom();
      int count = channel.read(ByteBuffer.wrap(in.array(), in.end(), room));
      if (count < 0) {
        close();
        return;
      }
      if (count == 0) {
        return;
      }
      firstByteNanos = empty ? arrivalNanos() : firstByteNanos;
      in.filled(count);
      try {
        parse(in);
      } catch (ProtocolException e) {
        invalidInput(e.getMessage());
        closing = true;
        flush();
        return;
      }
      if (count < room) {
        // All available input was read. A close that follows is seen in the next turn, which the
        // invariants allow for.
        return;
      }
    }
  }

  /** Sends the bytes after all that were written before. */
  protected void write(Slice bytes) {
    if (closed) {
      return;
    }
    out.add(ByteBuffer.wrap(bytes.array(), bytes.from(), bytes.length()));
    try {
      flush();
    } catch (IOException e) {
      failed(e);
    }
  }

  private void flush() throws IOException {
    while (!closed && !cutOff && !out.isEmpty()) {
      ByteBuffer next = out.peek();
      channel.write(next);
      if (next.hasRemaining()) {
        break;
      }
      out.remove();
    }
    if (closing && out.isEmpty()) {
      close();
    }
    updateInterest();
  }

  /**
   * Suspends or resumes traffic; suspended input and output is kept.
   *
   * @param suspendRead whether nothing is read
   * @param suspendAll whether nothing is read or written
   */
  void suspend(boolean suspendRead, boolean suspendAll) {
    readSuspended = suspendRead;
    cutOff = suspendAll;
    if ((readSuspended || cutOff) && unreadSinceNanos < 0) {
      unreadSinceNanos = loop.scheduler().now();
    }
    if (!closed) {
      try {
        flush();
      } catch (IOException e) {
        failed(e);
      }
    }
  }

  private void updateInterest() {
    if (!closed && key != null && key.isValid()) {
      int read = readSuspended || cutOff || closing ? 0 : SelectionKey.OP_READ;
      int write = cutOff || out.isEmpty() ? 0 : SelectionKey.OP_WRITE;
      if (key.interestOps() != (read | write)) {
        key.interestOps(read | write);
      }
    }
  }

  @Override
  public void failed(IOException cause) {
    close();
  }

  /** Resets the connection, as the death of a process does. */
  public void reset() {
    if (!closed) {
      try {
        channel.setOption(StandardSocketOptions.SO_LINGER, 0);
      } catch (IOException e) {
        // The connection is already broken; it is only closed.
        out.clear();
      }
      close();
    }
  }

  void close() {
    if (closed) {
      return;
    }
    closed = true;
    CacheServerListeners.close(channel);
    connectionClosed();
  }

  boolean isClosed() {
    return closed;
  }

  /** Returns a buffer for assembling one message. */
  protected static java.io.ByteArrayOutputStream newMessageBuffer() {
    return new java.io.ByteArrayOutputStream(MESSAGE_BUFFER_BYTES);
  }
}
