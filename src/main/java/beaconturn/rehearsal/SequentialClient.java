package beaconturn.rehearsal;

import beaconturn.core.Clock;
import beaconturn.history.History;
import beaconturn.history.HistoryEvent;
import beaconturn.protocol.InputBuffer;
import beaconturn.protocol.ProtocolException;
import beaconturn.protocol.RespReader;
import beaconturn.protocol.RespValue;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;

/**
 * One connection of the clients to a router: a thread that asks one request at a time and reads its
 * answer.
 */
final class SequentialClient {
  private static final long MILLI = 1_000_000;
  private static final int CONNECT_MILLIS = 1000;

  /** A new connection that is shut unread ends so soon. */
  private static final long TURNED_AWAY = 150 * MILLI;

  private static final int STACK_BYTES = 192 * 1024;

  /** How long after its deadline a request's answer is still waited for, to be seen as late. */
  private static final long PATIENCE = 300 * MILLI;

  private final InetSocketAddress router;
  private final Clock clock;
  private final History account;
  private final Owner owner;
  private final boolean crowded;
  private final BlockingQueue<Try> next = new LinkedBlockingQueue<>();
  private final InputBuffer in = new InputBuffer();
  private final RespReader reader = new RespReader(RespReader.MAX_VALUE_BYTES);
  private Socket socket;
  private String lastId = "";
  private boolean used;

  /** One try of a planned request, on its way to a router. */
  record Try(
      ScheduledRequest planned, int attempt, String id, int router, long patience, String once) {}

  /**
   * How a try ended; {@code kind} is null where no router took it, {@code retryAfter} 0 where none
   * was told.
   */
  record Result(Try asked, HistoryEvent.ClientOutcome kind, long at, long retryAfter) {}

  /** Who is told how tries end; called on the line's thread. */
  interface Owner {
    void done(SequentialClient line, Result result, boolean reusable);

    /**
     * The connection had been closed between requests: the same try goes out once more on a new
     * one.
     */
    void crossed(Try again);
  }

  /** A connection to a router, which may shut new ones unread where it is {@code crowded}. */
  SequentialClient(
      InetSocketAddress router, Clock clock, History account, Owner owner, boolean crowded) {
    this.crowded = crowded;
    this.router = router;
    this.clock = clock;
    this.account = account;
    this.owner = owner;
  }

  void start() {
    Thread thread = new Thread(null, this::run, "client", STACK_BYTES);
    thread.setDaemon(true);
    thread.start();
  }

  void ask(Try one) {
    next.add(one);
  }

  /** Ends it once it has looked for answers that nobody asked for. */
  void finish() {
    next.add(new Try(null, 0, "", 0, 0, null));
  }

  private void run() {
    try {
      for (Try one = next.take(); one.planned() != null; one = next.take()) {
        if (!exchange(one)) {
          return;
        }
      }
      strays();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      close();
    }
  }

  /** False if the connection is over. */
  private boolean exchange(Try one) {
    boolean reused = used;
    try {
      if (socket == null) {
        socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.connect(router, CONNECT_MILLIS);
      }
      strays();
    } catch (IOException e) {
      owner.done(this, new Result(one, null, clock.now(), 0), false);
      return false;
    }
    used = true;
    lastId = one.id();
    long asked;
    try {
      socket.getOutputStream().write(ClientCommands.bytes(one));
      asked = clock.now();
      account.add(
          new HistoryEvent.RequestWritten(
              asked,
              one.id(),
              one.planned().type().name(),
              one.planned().key(),
              one.once(),
              one.router(),
              asked + one.patience()));
    } catch (IOException e) {
      again(one, reused);
      return false;
    }
    return answer(one, asked, reused);
  }

  private void again(Try one, boolean reused) {
    if (reused) {
      crossed(one);
    } else {
      owner.done(this, new Result(one, null, clock.now(), 0), false);
    }
  }

  private boolean answer(Try one, long asked, boolean reused) {
    HistoryEvent.ClientOutcome kind;
    RespValue value = null;
    try {
      value = read(asked + one.patience() + PATIENCE);
      kind =
          value != null
              ? ClientCommands.kind(value)
              : in.size() > 0
                  ? HistoryEvent.ClientOutcome.DAMAGED
                  : HistoryEvent.ClientOutcome.DISCONNECTED;
    } catch (SocketTimeoutException e) {
      kind = HistoryEvent.ClientOutcome.TIMED_OUT;
    } catch (IOException e) {
      kind =
          in.size() > 0
              ? HistoryEvent.ClientOutcome.DAMAGED
              : HistoryEvent.ClientOutcome.DISCONNECTED;
    } catch (ProtocolException e) {
      kind = HistoryEvent.ClientOutcome.DAMAGED;
    }
    if (kind == HistoryEvent.ClientOutcome.DISCONNECTED && reused) {
      crossed(one);
      return false;
    }
    if (kind == HistoryEvent.ClientOutcome.DISCONNECTED
        && crowded
        && clock.now() - asked <= TURNED_AWAY) {
      account.add(new HistoryEvent.RequestCrossedClose(clock.now(), one.id()));
      owner.done(this, new Result(one, null, clock.now(), 0), false);
      return false;
    }
    long at = clock.now();
    account.add(
        new HistoryEvent.ResponseReceived(at, one.id(), kind, ClientCommands.digest(value)));
    boolean keep =
        value != null
            && (kind != HistoryEvent.ClientOutcome.FAILED
                || value instanceof RespValue.SimpleError);
    owner.done(this, new Result(one, kind, at, ClientCommands.retryAfter(value)), keep);
    return keep;
  }

  private void crossed(Try one) {
    account.add(new HistoryEvent.RequestCrossedClose(clock.now(), one.id()));
    owner.crossed(one);
  }

  private RespValue read(long until) throws IOException, ProtocolException {
    RespValue value = reader.next(in);
    InputStream from = socket.getInputStream();
    while (value == null) {
      long left = (until - clock.now()) / MILLI;
      if (left <= 0) {
        throw new SocketTimeoutException();
      }
      socket.setSoTimeout((int) left);
      if (!ClientCommands.read(from, in)) {
        return null;
      }
      value = reader.next(in);
    }
    return value;
  }

  /** Whatever has come since the last answer: each whole value is an answer too many. */
  private void strays() {
    try {
      while (socket != null && (in.size() > 0 || socket.getInputStream().available() > 0)) {
        RespValue value = read(clock.now() + MILLI);
        if (value == null) {
          return;
        }
        account.add(
            new HistoryEvent.ResponseReceived(
                clock.now(), lastId, ClientCommands.kind(value), ClientCommands.digest(value)));
      }
    } catch (IOException | ProtocolException e) {
      account.add(
          new HistoryEvent.ResponseReceived(
              clock.now(), lastId, HistoryEvent.ClientOutcome.DAMAGED, 0));
      close();
    }
  }

  private void close() {
    if (socket != null) {
      try {
        socket.close();
      } catch (IOException e) {
        socket = null;
      }
    }
  }
}
