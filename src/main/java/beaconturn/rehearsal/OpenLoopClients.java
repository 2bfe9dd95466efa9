package beaconturn.rehearsal;

import beaconturn.core.Clock;
import beaconturn.history.History;
import beaconturn.history.HistoryEvent;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.PriorityQueue;
import java.util.stream.IntStream;

/**
 * All clients of a rehearsal behind a front that selects their router. Sends each scheduled request
 * at its time regardless of the outcome of earlier requests, retries as clients do, and avoids
 * routers that the front considers down.
 */
final class OpenLoopClients implements SequentialClient.AttemptListener {
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final int SHORT_TIMEOUT_BITS_SHIFT = 23;
  private static final int SHORT_TIMEOUT_DENOMINATOR = 10_000;
  private static final int MAX_SHORT_TIMEOUT_MILLIS = 5;
  private final Scenario scenario;
  private final List<InetSocketAddress> routers;
  private final Clock clock;
  private final History history;
  private final ClientStatistics statistics;
  private final PipelinedClients pipelinedClients;
  private final List<SilentClients> silentClients = new ArrayList<>();
  // Guarded by this:
  private final PriorityQueue<DueAttempt> dueAttempts = new PriorityQueue<>();
  private final List<Deque<SequentialClient>> idleClients = new ArrayList<>();
  private final boolean[] avoidedRouters;
  private long startNanos;
  private long lastDueNumber;
  private int inFlight;
  private boolean finished;

  private record DueAttempt(long atNanos, long number, SequentialClient.Attempt attempt)
      implements Comparable<DueAttempt> {
    @Override
    public int compareTo(DueAttempt other) {
      int byTime = Long.compare(atNanos, other.atNanos);
      return byTime != 0 ? byTime : Long.compare(number, other.number);
    }
  }

  OpenLoopClients(
      Scenario scenario,
      List<InetSocketAddress> routers,
      Clock clock,
      History history,
      ClientStatistics statistics) {
    this.scenario = scenario;
    this.routers = routers;
    this.clock = clock;
    this.history = history;
    this.statistics = statistics;
    this.pipelinedClients = new PipelinedClients(scenario, routers, clock, history, this);
    this.avoidedRouters = new boolean[routers.size()];
    routers.forEach(router -> idleClients.add(new ArrayDeque<>()));
  }

  /** Starts to send; the times of the schedule count from {@code startNanos}. */
  synchronized void start(List<ScheduledRequest> schedule, long startNanos) {
    this.startNanos = startNanos;
    for (ScheduledRequest request : schedule) {
      dueAttempts.add(
          new DueAttempt(
              startNanos + request.atNanos(), ++lastDueNumber, createAttempt(request, 0)));
    }
    int silentCount =
        scenario.clientStreams().stream()
            .mapToInt(clients -> clients.connectionUsage().silentConnections())
            .sum();
    if (silentCount > 0) {
      routers.forEach(router -> silentClients.add(new SilentClients(router, silentCount)));
      silentClients.forEach(SilentClients::start);
    }
    Thread thread = new Thread(this::run, "clients");
    thread.setDaemon(true);
    thread.start();
  }

  private SequentialClient.Attempt createAttempt(ScheduledRequest request, int attempt) {
    Scenario.ClientStream stream = scenario.clientStreams().get(request.stream());
    long timeoutNanos = timeoutNanos(request, stream);
    String idempotencyKey =
        request.requestClass().effect() == Scenario.Effect.KEYED
            ? request.idempotencyKey(scenario.seed())
            : null;
    List<Integer> siteRouters =
        IntStream.range(0, routers.size())
            .filter(router -> isInClientSite(router, stream))
            .boxed()
            .toList();
    return new SequentialClient.Attempt(
        request,
        attempt,
        request.attemptId(scenario.seed(), attempt),
        siteRouters.get(request.routerFor(attempt, siteRouters.size())),
        timeoutNanos,
        idempotencyKey);
  }

  /** Returns the timeout of an attempt, rounded to milliseconds as the protocol requires. */
  private static long timeoutNanos(ScheduledRequest request, Scenario.ClientStream stream) {
    int shortTimeoutDraw =
        (int)
            Long.remainderUnsigned(
                request.randomBits() >>> SHORT_TIMEOUT_BITS_SHIFT, SHORT_TIMEOUT_DENOMINATOR);
    if (shortTimeoutDraw
        < stream.connectionUsage().shortTimeoutShare() * SHORT_TIMEOUT_DENOMINATOR) {
      return (1 + shortTimeoutDraw % MAX_SHORT_TIMEOUT_MILLIS) * NANOS_PER_MILLI;
    }
    return Math.max(
        NANOS_PER_MILLI,
        (long) (request.requestClass().deadlineNanos() * stream.attemptTimeoutShare())
            / NANOS_PER_MILLI
            * NANOS_PER_MILLI);
  }

  private void run() {
    try {
      while (true) {
        DueAttempt next = next();
        if (next == null) {
          return;
        }
        long delayNanos = clock.now() - next.atNanos();
        statistics.attemptSent(next.attempt(), delayNanos);
        send(next.attempt());
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private synchronized DueAttempt next() throws InterruptedException {
    while (!finished) {
      long waitNanos =
          dueAttempts.isEmpty() ? Long.MAX_VALUE : dueAttempts.peek().atNanos() - clock.now();
      if (waitNanos <= 0) {
        inFlight++;
        return dueAttempts.remove();
      }
      wait(Math.max(1, Math.min(1000, waitNanos / NANOS_PER_MILLI)));
    }
    return null;
  }

  private void send(SequentialClient.Attempt attempt) {
    SequentialClient client;
    SequentialClient.Attempt routedAttempt;
    boolean sequential =
        scenario.clientStreams().get(attempt.request().stream()).connectionUsage().isSequential();
    synchronized (this) {
      int router =
          !sequential && pipelinedClients.isConnected(attempt)
              ? attempt.router()
              : availableRouter(attempt);
      routedAttempt =
          new SequentialClient.Attempt(
              attempt.request(),
              attempt.number(),
              attempt.id(),
              router,
              attempt.timeoutNanos(),
              attempt.idempotencyKey());
      client = sequential ? idleClients.get(router).pollFirst() : null;
    }
    if (!sequential) {
      pipelinedClients.send(routedAttempt);
      return;
    }
    if (client == null) {
      client =
          new SequentialClient(
              routers.get(routedAttempt.router()),
              clock,
              history,
              this,
              scenario.hasSilentConnections());
      client.start();
    }
    client.send(routedAttempt);
  }

  /**
   * Returns whether a router is in the site of the clients; true for all routers if the stream has
   * none.
   */
  private boolean isInClientSite(int router, Scenario.ClientStream stream) {
    return stream.site().isEmpty() || scenario.routers().get(router).site().equals(stream.site());
  }

  /**
   * Returns the attempt's router or the next one that is not avoided, from the clients' own site if
   * there is one.
   */
  private int availableRouter(SequentialClient.Attempt attempt) {
    Scenario.ClientStream stream = scenario.clientStreams().get(attempt.request().stream());
    List<Integer> candidates =
        IntStream.range(0, avoidedRouters.length)
            .map(offset -> (attempt.router() + offset) % avoidedRouters.length)
            .filter(router -> !avoidedRouters[router])
            .boxed()
            .toList();
    return candidates.stream()
        .filter(router -> isInClientSite(router, stream))
        .findFirst()
        .orElse(candidates.isEmpty() ? attempt.router() : candidates.get(0));
  }

  @Override
  public void attemptEnded(
      SequentialClient client, SequentialClient.AttemptResult result, boolean reusable) {
    statistics.attemptEnded(result, startNanos);
    synchronized (this) {
      inFlight--;
      if (reusable) {
        idleClients.get(result.attempt().router()).addFirst(client);
      }
      long waitNanos = retryDelayNanos(result);
      if (waitNanos >= 0) {
        SequentialClient.Attempt next =
            createAttempt(result.attempt().request(), result.attempt().number() + 1);
        dueAttempts.add(new DueAttempt(clock.now() + waitNanos, ++lastDueNumber, next));
      }
      notifyAll();
    }
  }

  /**
   * Returns the delay before a retry, or a negative value for none. A write that is not idempotent
   * is not retried if it may have been executed.
   */
  private long retryDelayNanos(SequentialClient.AttemptResult result) {
    ScheduledRequest request = result.attempt().request();
    Scenario.ClientStream stream = scenario.clientStreams().get(request.stream());
    boolean finalOutcome =
        result.outcome() == HistoryEvent.ClientOutcome.SERVED
            || result.outcome() == HistoryEvent.ClientOutcome.ABANDONED;
    boolean mayHaveExecuted =
        result.outcome() != null && result.outcome() != HistoryEvent.ClientOutcome.REJECTED;
    boolean unsafe = request.requestClass().effect() == Scenario.Effect.UNSAFE;
    if (finalOutcome
        || (mayHaveExecuted && unsafe)
        || result.attempt().number() >= stream.maxRetries()) {
      return -1;
    }
    return Math.max(stream.backoffNanos(), result.retryAfterNanos());
  }

  @Override
  public void connectionClosed(SequentialClient.Attempt attempt) {
    send(attempt);
  }

  /** Makes the front avoid a router or use it again. */
  synchronized void setAvoided(int router, boolean avoid) {
    avoidedRouters[router] = avoid;
  }

  /** Waits until no attempt is in flight or due; returns false if some are left at the deadline. */
  synchronized boolean awaitDrained(long deadlineNanos) throws InterruptedException {
    while (inFlight > 0 || !dueAttempts.isEmpty()) {
      long remainingMillis = (deadlineNanos - clock.now()) / NANOS_PER_MILLI;
      if (remainingMillis <= 0) {
        return false;
      }
      wait(Math.min(remainingMillis, 50));
    }
    return true;
  }

  synchronized int inFlight() {
    return inFlight;
  }

  /** Stops sending and closes all connections; idle ones first check for unsolicited responses. */
  synchronized void finish() {
    finished = true;
    notifyAll();
    pipelinedClients.finish();
    silentClients.forEach(SilentClients::finish);
    for (Deque<SequentialClient> clients : idleClients) {
      clients.forEach(SequentialClient::finish);
      clients.clear();
    }
  }
}
