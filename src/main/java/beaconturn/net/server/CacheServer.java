package beaconturn.net.server;

import beaconturn.core.AttemptResult;
import beaconturn.core.Clock;
import beaconturn.core.OutboundAttempt;
import beaconturn.core.RepeatedEventLog;
import beaconturn.core.RoutingMessage;
import beaconturn.decision.AttemptOutcome;
import beaconturn.net.io.BoundedPipe;
import beaconturn.net.io.ConnectionLimit;
import beaconturn.stats.RequestMetrics;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.logging.Logger;

/** One cache server: an actor that owns the connections to it. It never waits for the peer. */
public final class CacheServer {
  private static final Logger LOG = Logger.getLogger(CacheServer.class.getName());

  /**
   * What an answer brings behind itself has come by then: a connection is not used again sooner.
   */
  private static final long SETTLED = 5_000_000;

  /** What the actor needs of the router round it. */
  public record Site(
      Clock clock,
      Consumer<RoutingMessage> module,
      ConnectionLimit places,
      CacheResponseReader replies,
      long connectTimeout,
      long idleTime,
      RequestMetrics tally,
      CacheServerThread actors,
      WorkerPool workers,
      BooleanSupplier mayWrite) {}

  /** What the actor is told. */
  sealed interface Task {
    record Started() implements Task {}

    record Send(OutboundAttempt attempt) implements Task {}

    record Abort(OutboundAttempt attempt) implements Task {}

    record Ended(
        CacheConnection connection,
        OutboundAttempt attempt,
        AttemptResult outcome,
        boolean reusable)
        implements Task {}

    /** An idle connection was dead, is closed, and nothing was written on it. */
    record Stale(OutboundAttempt attempt) implements Task {}

    record Spoilt() implements Task {}

    record Closed() implements Task {}

    record Dial(InetSocketAddress address) implements Task {}

    record CloseIdle() implements Task {}

    record Retire() implements Task {}
  }

  private record Idle(CacheConnection connection, long since) {}

  private final Site site;
  private final String host;
  private final Map<OutboundAttempt, CacheConnection> out = new ConcurrentHashMap<>();
  private final Deque<Idle> idle = new ArrayDeque<>();
  private final CacheConnection.Owner owner = new Reports();
  private final RepeatedEventLog unanswered;
  private final RepeatedEventLog spoilt;
  private InetSocketAddress dial;
  private volatile int connections;
  private volatile int begun;
  private volatile boolean wanted = true;
  private int posted;
  private boolean retired;

  CacheServer(Site site, String host, InetSocketAddress dial) {
    this.site = site;
    this.host = host;
    this.dial = dial;
    this.unanswered =
        new RepeatedEventLog(LOG, "cache server " + host + " leaves attempts unanswered", 3);
    this.spoilt =
        new RepeatedEventLog(LOG, "cache server " + host + " sends what cannot be read", 1);
  }

  void start() {
    tell(new Task.Started());
  }

  @Override
  public String toString() {
    return host;
  }

  /** Never waits: the module's thread calls it. */
  boolean send(OutboundAttempt attempt) {
    boolean taken = site.actors().send(this, new Task.Send(attempt));
    posted += taken ? 1 : 0;
    return taken;
  }

  /**
   * Ends the attempt's connection before it returns, so that a copy sent elsewhere next never meets
   * it; closing a socket does not wait. An attempt that is not begun yet will not be, as it is
   * over.
   */
  void abort(OutboundAttempt attempt) {
    CacheConnection used = out.get(attempt);
    if (used != null) {
      used.giveUp();
    }
    tell(new Task.Abort(attempt));
  }

  /**
   * Whether the server takes new requests; if not, a send that still waits here or for its
   * connection ends as never run. Any thread may call it.
   */
  void wanted(boolean yes) {
    wanted = yes;
  }

  void closeIdle() {
    tell(new Task.CloseIdle());
  }

  void dial(InetSocketAddress address) {
    tell(new Task.Dial(address));
  }

  /**
   * Whether no connection is open and no send waits to be begun: an actor dropped before that could
   * not be told any more that the attempt is given up. Asked by the thread that sends.
   */
  boolean quiet() {
    return begun == posted && connections == 0;
  }

  /** Ends the actor once nothing is out any more. */
  void retire() {
    tell(new Task.Retire());
  }

  private void tell(Task task) {
    site.actors().tell(this, task);
  }

  /**
   * Whether it was retired and nothing is out any more; for the actors' thread, as all that
   * follows.
   */
  boolean ended() {
    return retired && connections == 0;
  }

  /** Lets go of what is idle too long or dead, and says what has ended. */
  void look() {
    dropOld();
    for (Iterator<Idle> all = idle.iterator(); all.hasNext(); ) {
      Idle next = all.next();
      if (!next.connection().alive()) {
        all.remove();
        drop(next);
      }
    }
    unanswered.check(site.clock().now());
    spoilt.check(site.clock().now());
  }

  @SuppressWarnings("NonAtomicVolatileUpdate") // Written by the actors' thread alone.
  void handle(Task task) {
    if (task instanceof Task.Send send) {
      try {
        begin(send.attempt());
      } finally {
        begun = begun + 1;
      }
    } else if (task instanceof Task.Abort abort) {
      out.remove(abort.attempt());
      if (site.clock().now() >= abort.attempt().timesOutAtNanos()) {
        unanswered.note(site.clock().now());
      }
    } else if (task instanceof Task.Ended ended) {
      settle(ended);
    } else if (task instanceof Task.Spoilt) {
      spoilt.note(site.clock().now());
    } else if (task instanceof Task.Stale stale) {
      closed();
      if (out.remove(stale.attempt()) != null) {
        begin(stale.attempt());
      }
    } else if (task instanceof Task.Closed) {
      closed();
    } else if (task instanceof Task.Dial changed) {
      if (!changed.address().equals(dial)) {
        LOG.info(host + ": address changes from " + dial + " to " + changed.address());
        dial = changed.address();
        dropIdle();
      }
    } else if (task instanceof Task.CloseIdle) {
      dropIdle();
    } else if (task instanceof Task.Retire) {
      retired = true;
      dropIdle();
    }
  }

  /**
   * Of the settled connections the one used last goes first, so that those too many grow old and
   * close.
   */
  @SuppressWarnings("NonAtomicVolatileUpdate") // Written by the actors' thread alone.
  private void begin(OutboundAttempt attempt) {
    if (attempt.isOver()) {
      return;
    }
    if (!wanted || !attempt.isWanted(site.clock().now())) {
      unsent(attempt, AttemptOutcome.SUPERSEDED);
      return;
    }
    dropOld();
    long settled = site.clock().now() - SETTLED;
    for (Iterator<Idle> all = idle.iterator(); all.hasNext(); ) {
      Idle next = all.next();
      if (next.since() > settled) {
        continue;
      }
      all.remove();
      carry(attempt, next.connection());
      return;
    }
    if (!site.places().tryAcquire()) {
      // Answers that come faster than connections settle take a new one each: the idlest makes
      // room.
      if (!idle.isEmpty()) {
        drop(idle.pollLast());
      }
      if (!site.places().tryAcquire()) {
        unsent(attempt, AttemptOutcome.NOT_SENT);
        return;
      }
    }
    connections++;
    carry(
        attempt,
        new CacheConnection(dial, site.connectTimeout(), site.clock(), site.replies(), owner));
  }

  private void carry(OutboundAttempt attempt, CacheConnection connection) {
    out.put(attempt, connection);
    try {
      site.workers().run(() -> connection.carry(attempt));
    } catch (OutOfMemoryError e) {
      // No thread could be had for it: nothing was written, and the place is free again.
      LOG.warning(host + ": no thread for a connection");
      out.remove(attempt);
      connection.close();
      closed();
      unsent(attempt, AttemptOutcome.NOT_SENT);
    }
  }

  @SuppressWarnings("NonAtomicVolatileUpdate") // Written by the actors' thread alone.
  private void closed() {
    connections--;
    site.places().release();
  }

  private void settle(Task.Ended ended) {
    boolean wanted = out.remove(ended.attempt()) != null;
    AttemptOutcome ending = ended.outcome().outcome();
    boolean broke = ending == AttemptOutcome.CONNECT_FAILED || ending == AttemptOutcome.RESET;
    if (wanted && broke) {
      unanswered.note(site.clock().now());
    } else if (ending.serverResponded()) {
      unanswered.end();
    }
    if (ended.reusable()) {
      Idle left = new Idle(ended.connection(), ended.outcome().endedAtNanos());
      if (wanted && !retired && left.connection().address().equals(dial)) {
        idle.push(left);
      } else {
        drop(left);
      }
    }
  }

  /** Nobody reads from an idle connection: who closes it counts it. */
  private void drop(Idle left) {
    left.connection().close();
    closed();
  }

  private void dropOld() {
    long oldest = site.clock().now() - site.idleTime();
    while (!idle.isEmpty() && idle.peekLast().since() < oldest) {
      drop(idle.pollLast());
    }
  }

  private void dropIdle() {
    idle.forEach(this::drop);
    idle.clear();
  }

  private void unsent(OutboundAttempt attempt, AttemptOutcome why) {
    site.module()
        .accept(
            new RoutingMessage.AttemptEnded(attempt, AttemptResult.of(why, site.clock().now())));
  }

  /** Runs on the threads of the connections. */
  private final class Reports implements CacheConnection.Owner {
    @Override
    public boolean wanted() {
      return wanted && site.mayWrite().getAsBoolean();
    }

    @Override
    public void ended(
        CacheConnection connection,
        OutboundAttempt attempt,
        AttemptResult outcome,
        boolean reusable) {
      // The pool first: what the module sends next finds the connection idle.
      post(new Task.Ended(connection, attempt, outcome, reusable));
      site.module().accept(new RoutingMessage.AttemptEnded(attempt, outcome));
    }

    @Override
    public void begun(OutboundAttempt attempt, long at, BoundedPipe flow) {
      site.module().accept(new RoutingMessage.StreamingBegan(attempt, at, flow));
    }

    @Override
    public void sent() {
      site.tally().sent();
    }

    @Override
    public void stale(OutboundAttempt attempt) {
      post(new Task.Stale(attempt));
    }

    @Override
    public void spoilt() {
      post(new Task.Spoilt());
    }

    @Override
    public void closed() {
      post(new Task.Closed());
    }

    private void post(Task task) {
      site.actors().post(CacheServer.this, task);
    }
  }
}
