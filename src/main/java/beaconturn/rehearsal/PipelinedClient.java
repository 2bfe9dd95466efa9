package beaconturn.rehearsal;

import beaconturn.core.Clock;
import beaconturn.history.History;
import beaconturn.history.HistoryEvent;
import beaconturn.protocol.InputBuffer;
import beaconturn.protocol.ProtocolException;
import beaconturn.protocol.RespReader;
import beaconturn.protocol.RespValue;
import beaconturn.standin.RandomSources;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * One connection of clients that send several commands at once, wrong ones among them, cut into
 * pieces, and that may leave over what is open. One thread writes, another reads the answers in the
 * order of the commands. A request counts as asked once its own last byte is written, whatever
 * becomes of the bytes behind it. An end of the connection may cross commands that were begun a
 * moment before, where nothing before them is owed and none of those written together was answered;
 * for all else that is open it is an offence.
 */
final class PipelinedClient {
  private static final long MILLI = 1_000_000;
  private static final int CONNECT_MILLIS = 1000;
  private static final int STACK_BYTES = 192 * 1024;

  /** How long commands are gathered before they are written as one. */
  private static final int GATHER_MILLIS = 25;

  private static final int MOST_PIECES = 4;
  private static final int LONGEST_GAP_MILLIS = 90;
  private static final int LONGEST_STAY_MILLIS = 40;

  /** Whole commands that are wrong each in its own way. */
  private static final List<String> WRONG =
      List.of(
          "*4\r\n$5\r\nC.GET\r\n$1\r\na\r\n$1\r\nw\r\n$11\r\nc=level,d=0\r\n",
          "*4\r\n$5\r\nC.GET\r\n$1\r\na\r\n$1\r\nw\r\n$16\r\nc=level,d=999999\r\n",
          "*4\r\n$5\r\nC.GET\r\n$1\r\na\r\n$1\r\nw\r\n$15\r\nc=nobody,d=1000\r\n",
          "*4\r\n$5\r\nC.GET\r\n$1\r\na\r\n$1\r\nw\r\n$17\r\nc=level,d=10,d=20\r\n",
          "*3\r\n$5\r\nC.GET\r\n$1\r\na\r\n$1\r\nw\r\n",
          "*1\r\n$5\r\nHELLO\r\n",
          "*1\r\n:5\r\n",
          "*0\r\n",
          "$5\r\nhello\r\n");

  private final InetSocketAddress router;
  private final int number;
  private final Clock clock;
  private final History account;
  private final SequentialClient.Owner owner;
  private final Scenario.Conduct conduct;
  private final boolean crowded;
  private final UniformRandomProvider random;
  private final InputBuffer in = new InputBuffer();

  /** When the last answer came, or 0; for the reading thread. */
  private volatile long answeredAt;

  private final RespReader reader = new RespReader(RespReader.MAX_VALUE_BYTES);
  // Guarded by this:
  private final Deque<SequentialClient.Try> waiting = new ArrayDeque<>();
  private final Deque<Command> open = new ArrayDeque<>();
  private Socket socket;
  private boolean over;
  private boolean finishing;

  /**
   * A command that has been written, or is being written; {@code asked} is null for a wrong one.
   */
  private static final class Command {
    private final SequentialClient.Try asked;
    private final byte[] bytes;
    private boolean written;
    private boolean answered;
    private boolean first;
    private long batchBegan;

    /** When its own first byte was written, or 0. */
    private long begunAt;

    Command(SequentialClient.Try asked, byte[] bytes) {
      this.asked = asked;
      this.bytes = bytes;
    }
  }

  /**
   * A connection to a router, which is the {@code number}th of its play and draws its chance by
   * that; new ones may be shut unread where it is {@code crowded}.
   */
  PipelinedClient(
      InetSocketAddress router,
      int number,
      Clock clock,
      History account,
      SequentialClient.Owner owner,
      Scenario.Conduct conduct,
      boolean crowded,
      long seed) {
    this.router = router;
    this.number = number;
    this.clock = clock;
    this.account = account;
    this.owner = owner;
    this.conduct = conduct;
    this.crowded = crowded;
    this.random = new RandomSources(seed).of("pipeline " + number);
  }

  void start() {
    thread("client-writes", this::write);
  }

  private static void thread(String name, Runnable body) {
    Thread thread = new Thread(null, body, name, STACK_BYTES);
    thread.setDaemon(true);
    thread.start();
  }

  /** Takes a try; false if the connection is over. */
  synchronized boolean ask(SequentialClient.Try one) {
    if (over || finishing) {
      return false;
    }
    waiting.add(one);
    notifyAll();
    return true;
  }

  /** Whether it is connected and its router has not ended it. */
  synchronized boolean connected() {
    return socket != null && !over;
  }

  /** Ends it after what is open. */
  synchronized void finish() {
    finishing = true;
    notifyAll();
  }

  private void write() {
    try {
      for (List<Command> batch = gather(); !batch.isEmpty(); batch = gather()) {
        send(batch);
        if (random.nextDouble() < conduct.leaves()) {
          Thread.sleep(random.nextInt(LONGEST_STAY_MILLIS));
          leave();
          return;
        }
      }
      ended(false);
    } catch (IOException e) {
      if (!connected()) {
        ended(true);
      }
      // Else answers may still lie there to be read; the reading thread comes to the end by itself.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** What goes out at once; empty once it is to finish and nothing is open. */
  private List<Command> gather() throws InterruptedException {
    int most = 1 + random.nextInt(conduct.pipeline());
    synchronized (this) {
      while (waiting.isEmpty() && !over && !(finishing && open.isEmpty())) {
        wait();
      }
    }
    long until = clock.now() + GATHER_MILLIS * MILLI;
    synchronized (this) {
      for (long left = GATHER_MILLIS;
          waiting.size() < most && left > 0 && !over && !finishing;
          left = (until - clock.now()) / MILLI) {
        wait(left);
      }
      List<Command> batch = new ArrayList<>();
      while (batch.size() < most && !waiting.isEmpty() && !over) {
        SequentialClient.Try one = waiting.remove();
        addWrong(batch);
        batch.add(new Command(one, ClientCommands.bytes(one)));
        addWrong(batch);
      }
      return batch;
    }
  }

  private void addWrong(List<Command> batch) {
    if (random.nextDouble() < conduct.wrong() / 2) {
      String wrong = WRONG.get(random.nextInt(WRONG.size()));
      batch.add(new Command(null, wrong.getBytes(StandardCharsets.US_ASCII)));
    }
  }

  private void send(List<Command> batch) throws IOException, InterruptedException {
    Socket to = connect(batch);
    synchronized (this) {
      batch.get(0).first = true;
      for (Command one : batch) {
        one.batchBegan = clock.now();
        open.add(one);
      }
    }
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    List<Integer> ends = new ArrayList<>();
    for (Command one : batch) {
      all.write(one.bytes);
      ends.add(all.size());
    }
    byte[] bytes = all.toByteArray();
    int pieces = random.nextDouble() < conduct.pieces() ? 2 + random.nextInt(MOST_PIECES - 1) : 1;
    int from = 0;
    int said = 0;
    for (int piece = 1; piece <= pieces; piece++) {
      // Each piece has a byte at least, and leaves one to each that follows.
      int spare = bytes.length - from - (pieces - piece);
      int size = piece == pieces ? spare : 1 + random.nextInt(spare);
      long at = clock.now();
      to.getOutputStream().write(bytes, from, size);
      from += size;
      begun(batch, from, at);
      while (said < ends.size() && ends.get(said) <= from) {
        asked(batch.get(said++));
      }
      if (piece < pieces) {
        Thread.sleep(random.nextInt(LONGEST_GAP_MILLIS));
      }
    }
  }

  /** So many bytes of what is written together are out, the last of them since a time. */
  private synchronized void begun(List<Command> batch, int written, long at) {
    int start = 0;
    for (Command one : batch) {
      one.begunAt = one.begunAt == 0 && start < written ? at : one.begunAt;
      start += one.bytes.length;
    }
  }

  private Socket connect(List<Command> batch) throws IOException {
    synchronized (this) {
      if (socket != null) {
        return socket;
      }
    }
    Socket made = new Socket();
    try {
      made.setTcpNoDelay(true);
      made.connect(router, CONNECT_MILLIS);
    } catch (IOException e) {
      batch.stream().filter(c -> c.asked != null).forEach(c -> unreached(c.asked));
      throw e;
    }
    synchronized (this) {
      socket = made;
    }
    thread("client-reads", () -> read(made));
    return made;
  }

  private void unreached(SequentialClient.Try one) {
    owner.done(null, new SequentialClient.Result(one, null, clock.now(), 0), false);
  }

  private synchronized void asked(Command one) {
    if (over && !one.answered) {
      // The end was seen first, and what became of the command has been told.
      return;
    }
    one.written = true;
    if (one.asked != null) {
      long at = clock.now();
      account.add(
          new HistoryEvent.RequestWritten(
              at,
              one.asked.id(),
              one.asked.planned().type().name(),
              one.asked.planned().key(),
              one.asked.once(),
              one.asked.router(),
              at + one.asked.patience()));
    }
  }

  private void read(Socket from) {
    try {
      while (true) {
        RespValue value = next(from.getInputStream());
        if (value == null) {
          break;
        }
        Command one;
        synchronized (this) {
          one = open.poll();
          if (one != null) {
            one.answered = true;
          }
          notifyAll();
        }
        answered(one, value);
      }
    } catch (IOException | ProtocolException e) {
      // What is open is told below how it ended.
      ended(true);
      return;
    }
    ended(true);
  }

  private RespValue next(InputStream from) throws IOException, ProtocolException {
    RespValue value = reader.next(in);
    while (value == null) {
      if (!ClientCommands.read(from, in)) {
        return null;
      }
      value = reader.next(in);
    }
    return value;
  }

  private void answered(Command one, RespValue value) throws ProtocolException {
    if (one == null || (one.asked == null && !(value instanceof RespValue.SimpleError))) {
      // From here on nobody can tell which answer belongs to which command.
      throw new ProtocolException("an answer that nobody asked for");
    }
    long inFront = answeredAt;
    answeredAt = clock.now();
    if (one.asked != null) {
      long at = answeredAt;
      if (inFront != 0) {
        account.add(new HistoryEvent.PrecedingAnswersArrived(inFront, one.asked.id()));
      }
      HistoryEvent.ClientOutcome kind = ClientCommands.kind(value);
      account.add(
          new HistoryEvent.ResponseReceived(
              at, one.asked.id(), kind, ClientCommands.digest(value)));
      owner.done(
          null,
          new SequentialClient.Result(one.asked, kind, at, ClientCommands.retryAfter(value)),
          false);
    }
  }

  /** The client goes over what is open, by a reset or by an orderly end. */
  private void leave() throws IOException {
    Socket open;
    synchronized (this) {
      open = socket;
    }
    if (open == null) {
      return;
    }
    if (random.nextBoolean()) {
      open.setSoLinger(true, 0);
    }
    left();
    open.close();
    ended(false);
  }

  private void left() {
    List<Command> all;
    synchronized (this) {
      over = true;
      all = List.copyOf(open);
      open.clear();
    }
    for (Command one : all) {
      if (one.asked != null && one.written) {
        account.add(
            new HistoryEvent.ResponseReceived(
                clock.now(), one.asked.id(), HistoryEvent.ClientOutcome.ABANDONED, 0));
        owner.done(
            null,
            new SequentialClient.Result(
                one.asked, HistoryEvent.ClientOutcome.ABANDONED, clock.now(), 0),
            false);
      } else if (one.asked != null) {
        unreached(one.asked);
      }
    }
  }

  /** The connection is over; what is open was broken off, or crossed its end. */
  private void ended(boolean byRouter) {
    List<Command> broken;
    List<SequentialClient.Try> unsent;
    synchronized (this) {
      over = true;
      broken = List.copyOf(open);
      open.clear();
      unsent = List.copyOf(waiting);
      waiting.clear();
      notifyAll();
    }
    close();
    long now = clock.now();
    // Whether it crossed is judged by how long that took.
    boolean crossed = byRouter && !broken.isEmpty() && broken.get(0).first;
    for (Command one : broken) {
      if (one.asked != null) {
        brokenOff(one, now, crossed, one == broken.get(0));
      }
    }
    unsent.forEach(owner::crossed);
  }

  private void brokenOff(Command one, long now, boolean crossed, boolean nothingInFront) {
    boolean turnedAway = crossed && crowded && answeredAt == 0;
    if (!one.written && one.begunAt != 0 && !turnedAway) {
      account.add(
          new HistoryEvent.ConnectionCutWhileWriting(
              now, one.asked.id(), one.asked.router(), one.begunAt, nothingInFront));
    }
    if (crossed) {
      if (one.written) {
        account.add(new HistoryEvent.RequestCrossedClose(now, one.asked.id(), one.batchBegan));
      }
      if (answeredAt == 0) {
        // Turned away: who comes again at once is turned away again.
        unreached(one.asked);
      } else {
        owner.crossed(one.asked);
      }
      return;
    }
    if (!one.written) {
      unreached(one.asked);
      return;
    }
    account.add(
        new HistoryEvent.ResponseReceived(
            now, one.asked.id(), HistoryEvent.ClientOutcome.DISCONNECTED, 0));
    owner.done(
        null,
        new SequentialClient.Result(one.asked, HistoryEvent.ClientOutcome.DISCONNECTED, now, 0),
        false);
  }

  private void close() {
    Socket open;
    synchronized (this) {
      open = socket;
    }
    if (open != null) {
      try {
        open.close();
      } catch (IOException e) {
        // Nothing is left to do with a socket that fails to close.
        return;
      }
    }
  }

  @Override
  public String toString() {
    return "pipelined line " + number;
  }
}
