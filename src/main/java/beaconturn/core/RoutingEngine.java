package beaconturn.core;

import beaconturn.decision.AttemptOutcome;
import beaconturn.decision.CacheStatus;
import beaconturn.decision.EndpointListKind;
import beaconturn.decision.GiveUpReason;
import beaconturn.decision.RingRouter;
import beaconturn.decision.RoutingActions;
import beaconturn.decision.RoutingEvent;
import beaconturn.decision.RoutingPolicy;
import beaconturn.decision.RoutingSettings;
import beaconturn.decision.RoutingView;
import beaconturn.decision.ServerStatus;
import beaconturn.decision.WarmStartState;
import beaconturn.stats.CacheLookup;
import beaconturn.stats.RequestMetrics;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.function.Function;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Runs one decision module: messages become its events, its actions reach clients, cache servers
 * and discovery. Decides nothing, does no I/O and belongs to one thread.
 */
public final class RoutingEngine {
  private static final Logger LOG = Logger.getLogger(RoutingEngine.class.getName());

  /** A module, and when another took its place; it goes on with the requests that it has. */
  static final class Hosted {
    private final RoutingSettings settings;
    private RoutingPolicy router;
    private long replacedAt;

    private Hosted(RoutingSettings settings) {
      this.settings = settings;
    }
  }

  private record Due(Hosted to, RoutingEvent event) {}

  private final Clock clock;
  private final CacheServerClients fleet;
  private final EndpointDiscovery list;
  private final RequestEventLog events = new RequestEventLog();
  private final RequestTable table = new RequestTable();
  private final TimerQueue timers = new TimerQueue();
  private final Queue<Due> pending = new ArrayDeque<>();

  /** Where attempts are counted; empty where nobody asks. */
  private List<RequestMetrics> tallies = List.of();

  /**
   * The module in force last; those before it go on with the requests that were read under theirs.
   */
  private final Deque<Hosted> modules = new ArrayDeque<>();

  private boolean stopping;

  /** A host whose module starts with the settings and the seed. */
  public RoutingEngine(
      RoutingSettings settings,
      long seed,
      Clock clock,
      CacheServerClients fleet,
      EndpointDiscovery list) {
    this(settings, clock, fleet, list, out -> new RingRouter(settings, seed, clock.now(), out));
  }

  /** A host of any module. */
  public RoutingEngine(
      RoutingSettings settings,
      Clock clock,
      CacheServerClients fleet,
      EndpointDiscovery list,
      Function<RoutingActions, RoutingPolicy> module) {
    this.clock = clock;
    this.fleet = fleet;
    this.list = list;
    host(settings, module);
  }

  private void host(RoutingSettings settings, Function<RoutingActions, RoutingPolicy> module) {
    Hosted next = new Hosted(settings);
    next.router = module.apply(new Actions(next));
    modules.add(next);
  }

  /**
   * A new module for what comes from now on; what it keeps of the old one is the module's affair.
   */
  private void switchTo(RoutingMessage.Switched to) {
    long now = clock.now();
    modules.removeIf(m -> m.replacedAt != 0 && now - m.replacedAt > 2 * longest(m.settings));
    Hosted last = modules.getLast();
    if (!(last.router instanceof RingRouter before)) {
      throw new IllegalStateException("a module of another kind is not replaced");
    }
    last.replacedAt = now;
    host(to.settings(), out -> new RingRouter(to.settings(), to.seed(), now, out, before));
    LOG.info("new settings are in force");
  }

  private static long longest(RoutingSettings settings) {
    return settings.safetyLimits().answerSlackNanos() + settings.longestDeadlineNanos();
  }

  /** Handles one message and all that follows from it at once. */
  public void handle(RoutingMessage message) {
    if (message instanceof RoutingMessage.Arrived arrived) {
      arrived(arrived.call());
    } else if (message instanceof RoutingMessage.Left left) {
      withdraw(table.of(left.call()));
    } else if (message instanceof RoutingMessage.Ended ended) {
      ended(ended.attempt(), ended.outcome());
    } else if (message instanceof RoutingMessage.FirstBytes first) {
      firstBytes(first);
    } else if (message instanceof RoutingMessage.News news) {
      fleet.follow(news.news());
      RoutingEvent.EndpointsUpdated event = news.news().event();
      // A list that failed is asked for again by one module only, the one in force.
      Collection<Hosted> to =
          event.kind() == EndpointListKind.FAILED ? List.of(modules.getLast()) : modules;
      to.forEach(m -> deliver(m, event));
    } else if (message instanceof RoutingMessage.ByHand call) {
      byHand(call);
    } else if (message instanceof RoutingMessage.Placed placed) {
      modules.forEach(m -> deliver(m, new RoutingEvent.ZoneWeightsChanged(placed.shares())));
    } else if (message instanceof RoutingMessage.Begun begun) {
      deliver(modules.getLast(), new RoutingEvent.WarmStarted(begun.learned()));
    } else if (message instanceof RoutingMessage.Switched switched) {
      switchTo(switched);
    } else if (message instanceof RoutingMessage.Stopping) {
      stop();
    }
  }

  private void stop() {
    stopping = true;
    for (RequestTable.Entry open : table.open()) {
      open.call().failed();
      withdraw(open);
    }
  }

  private void byHand(RoutingMessage.ByHand call) {
    boolean known = fleet.byHand(call.server(), call.out(), call.told());
    if (known) {
      modules.forEach(
          m ->
              deliver(
                  m,
                  new RoutingEvent.OperatorOverrideChanged(call.server(), call.out(), call.at())));
    }
    call.known().accept(known);
  }

  /** Tells what the module in force makes of the list. */
  public void tell(RequestMetrics tally) {
    RoutingView view = modules.getLast().router.view();
    tally.serverCounts(view.listed(), view.avoided());
  }

  /** From here on attempts are counted there. */
  public void count(List<RequestMetrics> where) {
    tallies = List.copyOf(where);
  }

  private void count(RequestTable.Entry r, OutboundAttempt a, AttemptResult outcome) {
    if (!tallies.isEmpty()) {
      AttemptOutcome ending = outcome.ending();
      long took = outcome.at() - a.sentAt();
      boolean late =
          took
              > r.module()
                  .settings
                  .classes()
                  .get(r.call().ask().requestClass())
                  .latencyObjectiveNanos();
      CacheLookup found =
          outcome.note() == CacheStatus.HIT
              ? CacheLookup.HIT
              : outcome.note() == CacheStatus.NONE ? CacheLookup.UNKNOWN : CacheLookup.MISS;
      tallies.forEach(
          t ->
              t.attemptEnded(
                  a.server(),
                  ending == AttemptOutcome.OK || ending == AttemptOutcome.MISS,
                  found,
                  took,
                  late));
    }
  }

  /** What the module in force makes of each cache server. */
  public Map<CacheServerClients.Listed, ServerStatus> standings() {
    Map<CacheServerClients.Listed, ServerStatus> named = new LinkedHashMap<>();
    modules
        .getLast()
        .router
        .view()
        .servers()
        .forEach(
            (id, standing) -> {
              CacheServerClients.Listed listed = fleet.listed(id);
              if (listed != null) {
                named.put(listed, standing);
              }
            });
    return named;
  }

  /** What the module in force has learned, for one that follows it. */
  public WarmStartState learned() {
    return modules.getLast().router.warmStartState();
  }

  /**
   * The module that the request was read for: one that crosses new settings keeps its class's
   * rules. The latest of them: settings that come back into force have a module of before, which
   * was replaced. Null if it has been let go: under other settings the same number may be another
   * class.
   */
  @SuppressWarnings("ReferenceEquality") // Settings of that very reload.
  private Hosted of(ClientRequest call) {
    if (call.settings() == null) {
      return modules.getLast();
    }
    for (Iterator<Hosted> from = modules.descendingIterator(); from.hasNext(); ) {
      Hosted m = from.next();
      if (m.settings == call.settings()) {
        return m;
      }
    }
    return null;
  }

  /** Runs the timers that are due. */
  public void runDue() {
    for (Runnable due = timers.takeDue(clock.now());
        due != null;
        due = timers.takeDue(clock.now())) {
      due.run();
    }
    events.check(clock.now());
  }

  /** How long until the next timer, at most the given time. */
  public long untilNext(long atMost) {
    long now = clock.now();
    return Math.max(0, timers.next(now + atMost) - now);
  }

  /** How many requests wait for their answer. */
  public int open() {
    return table.openCount();
  }

  private void arrived(ClientRequest call) {
    long now = clock.now();
    for (RequestMetrics tally : tallies) {
      tally.requestRouted();
    }
    Hosted module = stopping ? null : of(call);
    if (module == null) {
      // Never sent anywhere, so it may be asked again.
      call.refused(0);
      return;
    }
    long last = call.deadline() + module.settings.safetyLimits().answerSlackNanos();
    RequestTable.Entry r = table.add(call, module, entry -> timers.at(last, () -> overdue(entry)));
    ClientRequest.Ask ask = call.ask();
    deliver(
        module,
        new RoutingEvent.RequestArrived(
            r.id(),
            ask.tenant(),
            ask.hint(),
            ask.key(),
            ask.requestClass(),
            call.deadline() - now,
            ask.clientRetry(),
            ask.write(),
            ask.size()));
  }

  /** A request must not go without an answer, even if the module fails: its client is told so. */
  private void overdue(RequestTable.Entry r) {
    if (r != null && !r.closed()) {
      LOG.warning("request " + r.call().id() + " had no answer from the module; failed");
      r.call().failed();
      withdraw(r);
    }
  }

  private void withdraw(RequestTable.Entry r) {
    if (r != null && !r.closed()) {
      table.close(r);
      deliver(r.module(), new RoutingEvent.RequestCancelled(r.id()));
    }
  }

  /**
   * The first attempt whose answer begins has the request; for any other the answer is called off.
   */
  private void firstBytes(RoutingMessage.FirstBytes first) {
    OutboundAttempt a = first.attempt();
    RequestTable.Entry r = table.get(a.request());
    if (a.over() || r.closed() || r.answering() != null) {
      first.body().cancel();
      return;
    }
    a.begun();
    r.answering(a);
    r.call().begun(first.body());
    deliver(
        r.module(),
        new RoutingEvent.ResponseStarted(
            a.request(), Math.max(0, first.at() - a.sentAt()), a.server(), a.number()));
  }

  private void ended(OutboundAttempt a, AttemptResult outcome) {
    if (!a.end(outcome.ending())) {
      return;
    }
    // On the wire first: what the module sends next must not meet an attempt that is still out.
    if (outcome.ending() == AttemptOutcome.TIMEOUT) {
      fleet.abort(a);
    }
    RequestTable.Entry r = table.get(a.request());
    count(r, a, outcome);
    if (outcome.ending() == AttemptOutcome.OK && !r.closed()) {
      table.close(r);
      r.call().served(outcome.answer());
    }
    boolean closed = r.closed();
    table.ended(r);
    deliver(
        r.module(),
        new RoutingEvent.AttemptClosed(
            a.request(),
            Math.max(0, outcome.at() - a.sentAt()),
            closed,
            a.server(),
            outcome.ending(),
            outcome.note(),
            a.number(),
            outcome.report()));
  }

  /** Hands the event to the module, then the events that its own actions caused. */
  private void deliver(Hosted to, RoutingEvent event) {
    pending.add(new Due(to, event));
    if (pending.size() > 1) {
      return;
    }
    while (!pending.isEmpty()) {
      RoutingEvent next = pending.element().event();
      try {
        pending.element().to().router.handle(clock.now(), next);
      } catch (RuntimeException | StackOverflowError e) {
        // One event that the module fails on must not end the router, nor strand its request.
        LOG.log(Level.SEVERE, "decision module failed on " + next.getClass().getSimpleName(), e);
        if (next instanceof RoutingEvent.RequestArrived arrival) {
          overdue(table.get(arrival.requestId()));
        }
      }
      pending.remove();
    }
  }

  private String name(long server) {
    CacheServerClients.Listed listed = fleet.listed(server);
    return listed == null ? "a server that is not listed" : listed.name();
  }

  /** What the module does, carried out at once. */
  private final class Actions implements RoutingActions {
    private final Hosted module;

    private Actions(Hosted module) {
      this.module = module;
    }

    @Override
    public void send(long request, long server, long allowFor) {
      RequestTable.Entry r = table.get(request);
      if (r == null
          || r.closed()
          || r.attempts().size() >= module.settings.permissions().maxAttempts()) {
        LOG.warning("send for request " + request + ", which may not have it: not sent");
        int number = r == null ? 0 : r.attempts().size();
        pending.add(
            new Due(
                module,
                new RoutingEvent.AttemptClosed(
                    request,
                    0,
                    r == null || r.closed(),
                    server,
                    AttemptOutcome.SUPERSEDED,
                    CacheStatus.NONE,
                    number,
                    AttemptResult.NO_REPORT)));
        return;
      }
      long now = clock.now();
      if (!r.attempts().isEmpty()) {
        events.retried(r, () -> name(server), now);
      }
      long left = Math.max(0, r.call().deadline() - now);
      long allowed = allowFor == 0 ? left : Math.min(left, allowFor);
      OutboundAttempt a = table.attempt(r, server, now, allowed);
      a.timeOut(
          timers.at(
              a.until(), () -> ended(a, AttemptResult.of(AttemptOutcome.TIMEOUT, clock.now()))));
      if (!fleet.send(a)) {
        over(a, r, AttemptOutcome.CONNECT_FAILED);
      }
    }

    @Override
    public void cancel(long request, int attempt) {
      RequestTable.Entry r = table.get(request);
      if (r == null || attempt >= r.attempts().size()) {
        return;
      }
      OutboundAttempt a = r.attempts().get(attempt);
      if (!a.over()) {
        over(a, r, AttemptOutcome.CANCELLED);
        fleet.abort(a);
      }
    }

    /**
     * Ends an attempt while the module acts: it hears of it once it has handled the event at hand.
     */
    private void over(OutboundAttempt a, RequestTable.Entry r, AttemptOutcome ending) {
      a.end(ending);
      table.ended(r);
      pending.add(
          new Due(
              module,
              new RoutingEvent.AttemptClosed(
                  a.request(),
                  clock.now() - a.sentAt(),
                  r.closed(),
                  a.server(),
                  ending,
                  CacheStatus.NONE,
                  a.number(),
                  AttemptResult.NO_REPORT)));
    }

    @Override
    public void refuse(long request, long retryAfter, GiveUpReason why) {
      RequestTable.Entry r = table.get(request);
      if (r != null && !r.closed()) {
        table.close(r);
        r.call().refused(retryAfter);
        events.refused(r, why, clock.now());
      }
    }

    @Override
    public void fail(long request, GiveUpReason why) {
      RequestTable.Entry r = table.get(request);
      if (r != null && !r.closed()) {
        table.close(r);
        r.call().failed();
        events.failed(r, why, clock.now());
      }
    }

    @Override
    public void timer(long delay, long token) {
      timers.at(clock.now() + delay, () -> deliver(module, new RoutingEvent.TimerFired(token)));
    }

    @Override
    public void watch(boolean on) {
      list.watch(on);
    }

    @Override
    public void fetchList() {
      list.fetch();
    }

    @Override
    public void probe(long server) {
      LOG.warning("probes are not part of this protocol; none sent");
    }

    @Override
    public void tell(int peer, byte[] body) {
      LOG.warning("messages between routers are not in use; none sent");
    }

    @Override
    public void closeIdle(long server) {
      fleet.closeIdle(server);
    }

    @Override
    public void log(String text) {
      LOG.info("module: " + text);
    }
  }
}
