package beaconturn.net.server;

import beaconturn.core.AttemptResult;
import beaconturn.core.Clock;
import beaconturn.core.OutboundAttempt;
import beaconturn.decision.AttemptOutcome;
import beaconturn.net.io.BoundedPipe;
import beaconturn.net.io.Sockets;
import beaconturn.protocol.InputBuffer;
import beaconturn.protocol.ProtocolException;
import beaconturn.protocol.RespReader;
import beaconturn.protocol.RespValue;
import java.io.IOException;
import java.io.InputStream;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.NoRouteToHostException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.logging.Logger;

/**
 * One connection to a cache server, which carries one request at a time: answers come in order, so
 * a second request would wait for the first, and giving one up would cut off the other. It has a
 * thread while a request is out and none while it is idle: whether the peer has closed it, or has
 * said what nobody asked for, is looked at before the next request is written, and now and then.
 */
final class CacheConnection {
  private static final Logger LOG = Logger.getLogger(CacheConnection.class.getName());
  private static final long MILLI = 1_000_000;

  /**
   * A whole request fits into the kernel's buffer, so that writing one to a silent peer never
   * blocks.
   */
  private static final int SEND_BUFFER = 128 * 1024;

  /** A cache server that says nothing for so long in the middle of an answer will not end it. */
  private static final int LONGEST_SILENCE_MILLIS = 10_000;

  /** What a connection tells its actor, on the thread it has, and what it asks of it, on any. */
  interface Owner {
    /** Whether the server still takes requests, as far as the list says. */
    boolean wanted();

    /** The answer has begun at this time and goes on as a flow. */
    void begun(OutboundAttempt attempt, long at, BoundedPipe flow);

    /**
     * The attempt has ended; if {@code reusable} the connection is idle and its actor's from here
     * on.
     */
    void ended(
        CacheConnection connection,
        OutboundAttempt attempt,
        AttemptResult outcome,
        boolean reusable);

    /** The connection was dead before the attempt was written on it, and is closed. */
    void stale(OutboundAttempt attempt);

    /** An attempt has been written whole. */
    void sent();

    /** What came is no answer, or came with none asked for. */
    void spoilt();

    /** The connection has ended while it had a thread. */
    void closed();
  }

  /** What is left of a connection once its thread has gone. */
  private enum Left {
    IDLE,
    STALE,
    ENDED
  }

  private final InetSocketAddress address;
  private final long connectTimeout;
  private final Clock clock;
  private final CacheResponseReader replies;
  private final Owner owner;
  private final InputBuffer in = new InputBuffer();
  private final RespReader reader = new RespReader(RespReader.LONGEST_VALUE);
  private volatile SocketChannel channel;
  private volatile boolean closed;

  /** Null while idle; handed on with the connection, from its actor to its thread and back. */
  private OutboundAttempt attempt;

  private boolean written;

  /** How the attempt ends if the connection does before all of it is written. */
  private AttemptOutcome unwritten;

  CacheConnection(
      InetSocketAddress address,
      long connectTimeout,
      Clock clock,
      CacheResponseReader replies,
      Owner owner) {
    this.address = address;
    this.connectTimeout = connectTimeout;
    this.clock = clock;
    this.replies = replies;
    this.owner = owner;
  }

  InetSocketAddress address() {
    return address;
  }

  /**
   * Sends the attempt, connecting first if need be, and reads its answer; on a thread of the
   * workers.
   */
  void carry(OutboundAttempt next) {
    attempt = next;
    written = false;
    unwritten = AttemptOutcome.CONNECT_FAILED;
    Left left = Left.ENDED;
    try {
      if (channel == null) {
        connect();
      } else if (!alive()) {
        left = Left.STALE;
      }
      if (left != Left.STALE) {
        transmit();
        left = read();
      }
    } catch (ProtocolException e) {
      LOG.finer("cache server at " + address + ": " + e.getMessage());
      owner.spoilt();
    } catch (IOException e) {
      LOG.finer("connection to " + address + " ended: " + e.getMessage());
    } finally {
      if (left != Left.IDLE) {
        close();
      }
      if (left == Left.STALE) {
        owner.stale(next);
      } else if (left == Left.ENDED) {
        broken();
        owner.closed();
      }
    }
  }

  /**
   * Whether the idle connection can carry a request: the peer has not closed it, and no bytes wait
   * unread, as what came behind an answer would be taken for the next one. For whoever has it;
   * never waits.
   */
  boolean alive() {
    try {
      channel.configureBlocking(false);
      int got = channel.read(ByteBuffer.allocate(1));
      channel.configureBlocking(true);
      if (got > 0) {
        owner.spoilt();
      }
      return got == 0;
    } catch (IOException e) {
      return false;
    }
  }

  /** Ends the connection, and with it whatever is out on it; takes no lock that a writer holds. */
  void close() {
    closed = true;
    SocketChannel open = channel;
    if (open != null) {
      Sockets.close(open);
    }
  }

  /**
   * Gives up what is out by a reset, and not by an orderly end: behind a network that was cut the
   * kernel would go on for minutes to deliver what it still holds, and a request given up long ago
   * would run then.
   */
  void giveUp() {
    SocketChannel open = channel;
    if (open != null) {
      try {
        open.setOption(StandardSocketOptions.SO_LINGER, 0);
      } catch (IOException e) {
        LOG.finer("connection to " + address + " has ended by itself: " + e.getMessage());
      }
    }
    close();
  }

  private void connect() throws IOException {
    long wait = Math.min(connectTimeout, attempt.timesOutAtNanos() - clock.now());
    // What fails before the peer could have a say, for want of a descriptor or a port, is this
    // machine's
    // failure.
    unwritten = AttemptOutcome.NOT_SENT;
    channel = SocketChannel.open();
    if (closed) {
      // Closed before there was anything to close.
      throw new IOException("given up");
    }
    Socket socket = channel.socket();
    socket.setTcpNoDelay(true);
    socket.setSendBufferSize(SEND_BUFFER);
    try {
      socket.connect(address, (int) Math.max(1, wait / MILLI));
    } catch (ConnectException | NoRouteToHostException | SocketTimeoutException e) {
      unwritten = AttemptOutcome.CONNECT_FAILED;
      throw e;
    }
    unwritten = AttemptOutcome.CONNECT_FAILED;
  }

  private void transmit() throws IOException {
    long now = clock.now();
    if (!attempt.isWanted(now) || !owner.wanted()) {
      // Given up, or the server drains, since it was sent off: it must not reach the cache server.
      unwritten = AttemptOutcome.SUPERSEDED;
      throw new IOException("not wanted any more");
    }
    long wait = Math.max(1, (attempt.timesOutAtNanos() - now) / MILLI);
    Sockets.write(channel.socket().getOutputStream(), attempt.request().encode(wait));
    written = true;
    owner.sent();
  }

  private Left read() throws IOException, ProtocolException {
    InputStream from = channel.socket().getInputStream();
    while (Sockets.read(from, in)) {
      LargeResponseStream large = LargeResponseStream.at(in);
      if (large != null) {
        return passOn(large, from);
      }
      RespValue value = reader.next(in);
      if (value != null) {
        return answered(replies.read(value, clock.now()));
      }
    }
    return Left.ENDED;
  }

  /**
   * Only its connection's thread touches the attempt's answer: nothing else of it can come
   * meanwhile.
   */
  private Left passOn(LargeResponseStream large, InputStream from)
      throws IOException, ProtocolException {
    long now = clock.now();
    BoundedPipe flow = new BoundedPipe();
    owner.begun(attempt, now, flow);
    channel.socket().setSoTimeout(LONGEST_SILENCE_MILLIS);
    try {
      AttemptResult outcome = large.passOn(from, in, replies, flow, now);
      channel.socket().setSoTimeout(0);
      return answered(outcome);
    } finally {
      flow.breakOff();
    }
  }

  /** What stands behind an answer makes it no worse, but ends the connection. */
  private Left answered(AttemptResult outcome) throws ProtocolException {
    OutboundAttempt done = attempt;
    attempt = null;
    boolean clean = in.size() == 0;
    owner.ended(this, done, outcome, clean);
    if (!clean) {
      throw new ProtocolException("more behind an answer");
    }
    return Left.IDLE;
  }

  /** The connection broke: whether its request may have run depends on its last byte. */
  private void broken() {
    if (attempt != null) {
      AttemptOutcome ending = written ? AttemptOutcome.RESET : unwritten;
      owner.ended(this, attempt, AttemptResult.of(ending, clock.now()), false);
    }
  }
}
