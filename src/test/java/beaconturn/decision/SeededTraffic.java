package beaconturn.decision;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * Simulates clients, cache servers, an origin and discovery around a {@link RingRouter}. All events
 * are drawn from one seed, and every action of the router goes into a digest. The simulation is not
 * realistic; it only has to exercise every rule.
 */
final class SeededTraffic {
  static final int ORIGIN_KIND = 9;
  static final long MS = 1_000_000L;
  static final long FIRST_ORIGIN = 900;
  static final float[] NO_REPORT = {};

  /** Parameters of a run. */
  record Scenario(
      RoutingSettings settings,
      int arrivals,
      int caches,
      long meanGapNanos,
      boolean zoneWeights,
      boolean warmStart,
      RoutingSettings successor) {}

  private record ScheduledTask(long atNanos, long order, Runnable task)
      implements Comparable<ScheduledTask> {
    @Override
    public int compareTo(ScheduledTask other) {
      int timeOrder = Long.compare(atNanos, other.atNanos);
      return timeOrder != 0 ? timeOrder : Long.compare(order, other.order);
    }
  }

  private static final class Attempt {
    final SeededServer server;
    final int index;
    final long sentAtNanos;
    boolean open = true;

    Attempt(SeededServer server, int index, long sentAtNanos) {
      this.server = server;
      this.index = index;
      this.sentAtNanos = sentAtNanos;
    }
  }

  private static final class ClientRequest {
    final long id;
    final RoutingEvent.RequestArrived arrival;
    final RequestClass requestClass;
    final RouterPort port;
    final List<Attempt> attempts = new ArrayList<>();
    SeededServer missedAt;
    boolean done;

    ClientRequest(RoutingEvent.RequestArrived arrival, RequestClass requestClass, RouterPort port) {
      this.id = arrival.requestId();
      this.arrival = arrival;
      this.requestClass = requestClass;
      this.port = port;
    }
  }

  final Scenario scenario;
  final SplittableRandom random;
  private final MessageDigest digest;
  private final PriorityQueue<ScheduledTask> queue = new PriorityQueue<>();
  private final Map<Long, ClientRequest> clientRequests = new HashMap<>();
  final Map<Long, SeededServer> servers = new TreeMap<>();
  private final Map<String, Integer> counts = new TreeMap<>();
  RouterPort port;
  long nowNanos = 10_000_000 * MS;
  private long order;
  int arrivedCount;
  private long requestCount;

  /** Factor on the gaps between arrivals. */
  double arrivalGapFactor = 1;

  /** Factor on the response times of the origin. */
  double originSlowness = 1;

  /** Until when sends fail on the router's own machine, in nanoseconds. */
  long machineFailsUntilNanos;

  SeededTraffic(Scenario scenario, long seed) {
    this.scenario = scenario;
    this.random = new SplittableRandom(seed);
    try {
      this.digest = MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(e);
    }
    for (int i = 1; i <= scenario.caches(); i++) {
      servers.put((long) i, new SeededServer(i, i % 4 == 0 ? 1 : 0));
    }
    if (scenario.settings().origin().cacheAside()) {
      servers.put(FIRST_ORIGIN, new SeededServer(FIRST_ORIGIN, ORIGIN_KIND));
      servers.put(FIRST_ORIGIN + 1, new SeededServer(FIRST_ORIGIN + 1, ORIGIN_KIND));
    }
  }

  /** Runs the scenario and returns the digest of the actions. */
  String run() {
    port = new RouterPort();
    port.router = new RingRouter(scenario.settings(), 77, nowNanos, port);
    if (scenario.warmStart()) {
      port.handle(new RoutingEvent.WarmStarted(new WarmStartState(2e-7, 4e-7, 6e6, 2e7, 400, 300)));
    }
    sendList(EndpointListKind.CACHED, fullList());
    schedule(0, this::arriveNext);
    schedule(200 * MS, new SeededFaults(this)::injectNext);
    schedule(300 * MS, this::recordState);
    while (!queue.isEmpty()) {
      ScheduledTask next = queue.poll();
      nowNanos = Math.max(nowNanos, next.atNanos());
      next.task().run();
    }
    recordState();
    return HexFormat.of().formatHex(digest.digest());
  }

  /** Returns the number of actions by kind. */
  Map<String, Integer> counts() {
    return counts;
  }

  /** Returns the number of requests without a response whose clients have not disconnected. */
  long unansweredCount() {
    return clientRequests.values().stream().filter(request -> !request.done).count();
  }

  void schedule(long delayNanos, Runnable task) {
    queue.add(new ScheduledTask(nowNanos + delayNanos, order++, task));
  }

  private void record(String kind, String rest) {
    counts.merge(kind, 1, Integer::sum);
    digest.update((nowNanos + " " + kind + " " + rest + "\n").getBytes(StandardCharsets.UTF_8));
  }

  private void recordState() {
    record("view", port.router.view().servers().toString());
    record("state", describe(port.router.warmStartState()));
    if (arrivedCount < scenario.arrivals()) {
      schedule(300 * MS, this::recordState);
    }
  }

  /**
   * Formats the state with labels that are part of the digest and independent of component names.
   */
  private static String describe(WarmStartState state) {
    return "WarmStartState[answers="
        + state.responsesPerNano()
        + ", peak="
        + state.peakResponsesPerNano()
        + ", answerTime="
        + state.responseTimeNanos()
        + ", fetchTime="
        + state.fetchTimeNanos()
        + ", limit="
        + state.cacheLimit()
        + ", originLimit="
        + state.originLimit()
        + "]";
  }

  private void arriveNext() {
    if (arrivedCount++ >= scenario.arrivals()) {
      return;
    }
    if (arrivedCount == scenario.arrivals() / 2 && scenario.successor() != null) {
      RouterPort next = new RouterPort();
      next.router = new RingRouter(scenario.successor(), 78, nowNanos, next, port.router);
      port = next;
    }
    int requestClass = drawClass();
    boolean write = random.nextInt(10) < (requestClass < 2 ? 1 : 7);
    int tenant = random.nextInt(Math.max(1, scenario.settings().tenants().size()));
    long key = drawKey();
    long workHintNanos = random.nextInt(3) == 0 ? (1 + random.nextInt(40)) * MS / 4 : 0;
    request(tenant, workHintNanos, key, requestClass, write, false);
    long gapNanos =
        (long) (scenario.meanGapNanos() * arrivalGapFactor * (0.2 + 1.6 * random.nextDouble()));
    schedule(gapNanos, this::arriveNext);
  }

  private int drawClass() {
    int roll = random.nextInt(20);
    int classes = scenario.settings().classes().size();
    return roll < 13 ? roll % 2 : roll % classes;
  }

  private long drawKey() {
    int roll = random.nextInt(100);
    if (roll < 2) {
      return 0;
    }
    if (roll < 25) {
      return 7L + roll % 3;
    }
    int spread = random.nextInt(300);
    return 10 + (long) spread * spread / 300;
  }

  private void request(
      int tenant,
      long workHintNanos,
      long key,
      int requestClass,
      boolean write,
      boolean clientRetry) {
    RequestClass type = scenario.settings().classes().get(requestClass);
    long id = ++requestCount;
    long remainingNanos = type.deadlineNanos() / (1 + random.nextInt(3));
    RoutingEvent.RequestArrived arrival =
        new RoutingEvent.RequestArrived(
            id, tenant, workHintNanos, key, requestClass, remainingNanos, clientRetry, write, 0);
    ClientRequest request = new ClientRequest(arrival, type, port);
    clientRequests.put(id, request);
    schedule(remainingNanos, () -> disconnect(request));
    if (random.nextInt(40) == 0) {
      schedule(1L + random.nextInt((int) (30 * MS)), () -> disconnect(request));
    }
    request.port.handle(arrival);
  }

  private void disconnect(ClientRequest request) {
    if (!request.done) {
      request.done = true;
      request.port.handle(new RoutingEvent.RequestCancelled(request.id));
      retryLater(request);
    }
  }

  private void retryLater(ClientRequest request) {
    if (random.nextInt(3) == 0 && requestCount < 3L * scenario.arrivals()) {
      RoutingEvent.RequestArrived arrival = request.arrival;
      long delayNanos = 1L + random.nextInt((int) (60 * MS));
      schedule(
          delayNanos,
          () ->
              request(
                  arrival.tenant(),
                  arrival.workHintNanos(),
                  arrival.key(),
                  arrival.requestClass(),
                  arrival.write(),
                  true));
    }
  }

  private void startAttempt(ClientRequest request, SeededServer server, long timeoutNanos) {
    Attempt attempt = new Attempt(server, request.attempts.size(), nowNanos);
    request.attempts.add(attempt);
    server.inFlight++;
    AttemptOutcome outcome = outcome(request, server);
    long elapsedNanos = elapsedNanos(request, server, outcome);
    if (elapsedNanos >= timeoutNanos) {
      schedule(
          timeoutNanos,
          () -> closeAttempt(request, attempt, AttemptOutcome.TIMEOUT, CacheStatus.NONE));
      return;
    }
    CacheStatus status = status(request, server, outcome);
    long totalNanos =
        status == CacheStatus.MISS ? Math.min(elapsedNanos * 4, timeoutNanos - 1) : elapsedNanos;
    if (outcome == AttemptOutcome.OK && request.requestClass.streamed()) {
      schedule(totalNanos / 2, () -> startResponse(request, attempt));
    }
    schedule(totalNanos, () -> closeAttempt(request, attempt, outcome, status));
  }

  private AttemptOutcome outcome(ClientRequest request, SeededServer server) {
    int roll = random.nextInt(100);
    boolean origin = server.kind == ORIGIN_KIND;
    if (nowNanos < machineFailsUntilNanos && roll < 60) {
      return AttemptOutcome.NOT_SENT;
    }
    if (server.down) {
      return roll < 50 ? AttemptOutcome.CONNECT_FAILED : AttemptOutcome.TIMEOUT;
    }
    if (server.inFlight > 12 && roll < 50) {
      return AttemptOutcome.REJECTED;
    }
    if (roll < server.errorPercent || (!origin && request.arrival.key() % 37 == 36 && roll < 80)) {
      return roll % 3 == 0 ? AttemptOutcome.RESET : AttemptOutcome.ERROR;
    }
    boolean cacheMisses =
        scenario.settings().origin().cacheAside()
            && !origin
            && !request.arrival.write()
            && server.keys.get(request.arrival.key()) == null;
    return cacheMisses ? AttemptOutcome.MISS : AttemptOutcome.OK;
  }

  private long elapsedNanos(ClientRequest request, SeededServer server, AttemptOutcome outcome) {
    if (outcome == AttemptOutcome.TIMEOUT) {
      return Long.MAX_VALUE;
    }
    if (outcome == AttemptOutcome.NOT_SENT) {
      return MS / 10;
    }
    long baseNanos = (long) ((2 + 4 * random.nextDouble()) * MS);
    long workNanos = baseNanos + request.arrival.workHintNanos() / 2;
    double loadFactor = server.slowness * (1 + server.inFlight / 6.0);
    double slowOutlierFactor = random.nextInt(50) == 0 ? 15 : 1;
    double originFactor = server.kind == ORIGIN_KIND ? 3 * originSlowness : 1;
    return Math.max(1, (long) (workNanos * loadFactor * slowOutlierFactor * originFactor));
  }

  private CacheStatus status(ClientRequest request, SeededServer server, AttemptOutcome outcome) {
    OriginSettings origin = scenario.settings().origin();
    if (origin.cacheAside() || outcome != AttemptOutcome.OK || !origin.reportsCacheHits()) {
      return CacheStatus.NONE;
    }
    boolean holds = server.keys.get(request.arrival.key()) != null;
    return holds && !request.arrival.write() ? CacheStatus.HIT : CacheStatus.MISS;
  }

  private void startResponse(ClientRequest request, Attempt attempt) {
    if (attempt.open && !request.done) {
      request.port.handle(
          new RoutingEvent.ResponseStarted(
              request.id, nowNanos - attempt.sentAtNanos, attempt.server.id, attempt.index));
    }
  }

  private void closeAttempt(
      ClientRequest request, Attempt attempt, AttemptOutcome outcome, CacheStatus status) {
    if (!attempt.open) {
      return;
    }
    attempt.open = false;
    attempt.server.inFlight--;
    if (outcome == AttemptOutcome.MISS) {
      request.missedAt = request.missedAt == null ? attempt.server : request.missedAt;
    }
    if (outcome == AttemptOutcome.OK) {
      SeededServer holder = attempt.server.kind == ORIGIN_KIND ? request.missedAt : attempt.server;
      if (holder != null) {
        holder.keys.put(request.arrival.key(), true);
      }
    }
    request.done |= outcome == AttemptOutcome.OK;
    RoutingEvent.AttemptClosed closed =
        new RoutingEvent.AttemptClosed(
            request.id,
            nowNanos - attempt.sentAtNanos,
            request.done,
            attempt.server.id,
            outcome,
            status,
            attempt.index,
            report(attempt.server, outcome));
    request.port.handle(closed);
    if (random.nextInt(200) == 0) {
      request.port.handle(closed);
    }
  }

  private float[] report(SeededServer server, AttemptOutcome outcome) {
    boolean none = scenario.settings().loadReportFields().isEmpty() || !outcome.serverResponded();
    return none ? NO_REPORT : new float[] {0.5f, server.inFlight * (server.id == 2 ? 9 : 1)};
  }

  List<Endpoint> fullList() {
    List<Endpoint> entries = new ArrayList<>();
    for (SeededServer server : servers.values()) {
      if (server.health != EndpointHealth.GONE) {
        entries.add(server.endpoint());
      }
    }
    return entries;
  }

  void sendDelta(SeededServer server) {
    sendList(EndpointListKind.DELTA, List.of(server.endpoint()));
  }

  void sendList(EndpointListKind kind, List<Endpoint> entries) {
    port.handle(new RoutingEvent.EndpointsUpdated(order, kind, entries));
  }

  /** Connects one router to the model; a replaced router keeps its own port. */
  final class RouterPort implements RoutingActions {
    private RingRouter router;

    void handle(RoutingEvent event) {
      router.handle(nowNanos, event);
    }

    @Override
    public void send(long requestId, long serverId, long timeoutNanos) {
      record("send", requestId + " " + serverId + " " + timeoutNanos);
      startAttempt(clientRequests.get(requestId), servers.get(serverId), timeoutNanos);
    }

    @Override
    public void cancel(long requestId, int attempt) {
      record("cancel", requestId + " " + attempt);
      ClientRequest request = clientRequests.get(requestId);
      Attempt cancelled = request.attempts.get(attempt);
      int roll = random.nextInt(10);
      AttemptOutcome outcome = roll < 2 ? AttemptOutcome.SUPERSEDED : AttemptOutcome.CANCELLED;
      schedule(roll * MS / 4, () -> closeAttempt(request, cancelled, outcome, CacheStatus.NONE));
    }

    @Override
    public void reject(long requestId, long retryAfterNanos, GiveUpReason reason) {
      record("refuse " + reason, requestId + " " + retryAfterNanos);
      complete(requestId);
    }

    @Override
    public void fail(long requestId, GiveUpReason reason) {
      record("fail " + reason, Long.toString(requestId));
      complete(requestId);
    }

    private void complete(long requestId) {
      ClientRequest request = clientRequests.get(requestId);
      request.done = true;
      retryLater(request);
    }

    @Override
    public void setTimer(long delayNanos, long token) {
      record("timer", delayNanos + " " + token);
      schedule(delayNanos, () -> handle(new RoutingEvent.TimerFired(token)));
    }

    @Override
    public void watchEndpoints(boolean on) {
      record("watch", Boolean.toString(on));
      boolean fails = random.nextInt(4) == 0;
      schedule(
          (1 + random.nextInt(20)) * MS,
          () ->
              sendList(
                  fails ? EndpointListKind.FAILED : EndpointListKind.FULL,
                  fails ? List.of() : fullList()));
    }

    @Override
    public void fetchEndpoints() {
      record("fetch list", "");
    }

    @Override
    public void probe(long serverId) {
      record("probe", Long.toString(serverId));
    }

    @Override
    public void sendToPeer(int peer, byte[] body) {
      record("tell", Integer.toString(peer));
    }

    @Override
    public void closeIdleConnections(long serverId) {
      record("close idle", Long.toString(serverId));
    }

    @Override
    public void log(String text) {
      record("log", text);
    }
  }
}
