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
 * A small closed-loop model of clients, cache servers, an origin and discovery around a {@link
 * RingRouter}: everything that happens is drawn from one seed, and every action of the router goes
 * into a digest. It claims no likeness to a real fleet; it only has to reach every rule.
 */
final class SeededTraffic {
  static final int ORIGIN_KIND = 9;
  static final long MS = 1_000_000L;
  static final long FIRST_ORIGIN = 900;
  static final float[] NO_REPORT = {};

  /** What a scenario has beside its settings. */
  record Shape(
      RoutingSettings settings,
      int arrivals,
      int caches,
      long meanGapNanos,
      boolean zoneWeights,
      boolean warmStart,
      RoutingSettings successor) {}

  private record Due(long at, long order, Runnable what) implements Comparable<Due> {
    @Override
    public int compareTo(Due other) {
      int byTime = Long.compare(at, other.at);
      return byTime != 0 ? byTime : Long.compare(order, other.order);
    }
  }

  private static final class Attempt {
    final SeededServer server;
    final int index;
    final long sentAt;
    boolean open = true;

    Attempt(SeededServer server, int index, long sentAt) {
      this.server = server;
      this.index = index;
      this.sentAt = sentAt;
    }
  }

  private static final class Client {
    final long id;
    final RoutingEvent.RequestArrived arrival;
    final RequestClass type;
    final Port port;
    final List<Attempt> attempts = new ArrayList<>();
    SeededServer missedAt;
    boolean done;

    Client(RoutingEvent.RequestArrived arrival, RequestClass type, Port port) {
      this.id = arrival.requestId();
      this.arrival = arrival;
      this.type = type;
      this.port = port;
    }
  }

  final Shape shape;
  final SplittableRandom chance;
  private final MessageDigest digest;
  private final PriorityQueue<Due> queue = new PriorityQueue<>();
  private final Map<Long, Client> clients = new HashMap<>();
  final Map<Long, SeededServer> servers = new TreeMap<>();
  private final Map<String, Integer> counts = new TreeMap<>();
  Port port;
  long now = 10_000_000 * MS;
  private long order;
  int arrived;
  private long requests;

  /** Gaps between arrivals are this multiple of the usual. */
  double pace = 1;

  /** Answer times of the origin are this multiple of the usual. */
  double originSlowness = 1;

  /** Until when sends fail on the router's own machine, in nanoseconds. */
  long machineFailsUntil;

  SeededTraffic(Shape shape, long seed) {
    this.shape = shape;
    this.chance = new SplittableRandom(seed);
    try {
      this.digest = MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(e);
    }
    for (int i = 1; i <= shape.caches(); i++) {
      servers.put((long) i, new SeededServer(i, i % 4 == 0 ? 1 : 0));
    }
    if (shape.settings().origin().cacheAside()) {
      servers.put(FIRST_ORIGIN, new SeededServer(FIRST_ORIGIN, ORIGIN_KIND));
      servers.put(FIRST_ORIGIN + 1, new SeededServer(FIRST_ORIGIN + 1, ORIGIN_KIND));
    }
  }

  /** Plays all of it and returns the digest of the actions. */
  String play() {
    port = new Port();
    port.router = new RingRouter(shape.settings(), 77, now, port);
    if (shape.warmStart()) {
      port.handle(new RoutingEvent.WarmStarted(new WarmStartState(2e-7, 4e-7, 6e6, 2e7, 400, 300)));
    }
    list(EndpointListKind.CACHED, wholeList());
    after(0, this::arrive);
    after(200 * MS, new SeededFaults(this)::next);
    after(300 * MS, this::look);
    while (!queue.isEmpty()) {
      Due next = queue.poll();
      now = Math.max(now, next.at());
      next.what().run();
    }
    look();
    return HexFormat.of().formatHex(digest.digest());
  }

  /** How often each kind of action was taken. */
  Map<String, Integer> counts() {
    return counts;
  }

  /** Requests that were neither answered nor given up, and whose clients did not leave. */
  long unanswered() {
    return clients.values().stream().filter(c -> !c.done).count();
  }

  void after(long delay, Runnable what) {
    queue.add(new Due(now + delay, order++, what));
  }

  private void record(String kind, String rest) {
    counts.merge(kind, 1, Integer::sum);
    digest.update((now + " " + kind + " " + rest + "\n").getBytes(StandardCharsets.UTF_8));
  }

  private void look() {
    record("view", port.router.view().servers().toString());
    record("state", text(port.router.warmStartState()));
    if (arrived < shape.arrivals()) {
      after(300 * MS, this::look);
    }
  }

  /** The labels are the digests' own, so that they do not follow the names of the components. */
  private static String text(WarmStartState state) {
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

  // ---- clients

  private void arrive() {
    if (arrived++ >= shape.arrivals()) {
      return;
    }
    if (arrived == shape.arrivals() / 2 && shape.successor() != null) {
      Port next = new Port();
      next.router = new RingRouter(shape.successor(), 78, now, next, port.router);
      port = next;
    }
    int requestClass = pickClass();
    boolean write = chance.nextInt(10) < (requestClass < 2 ? 1 : 7);
    int tenant = chance.nextInt(Math.max(1, shape.settings().tenants().size()));
    long key = pickKey();
    long hint = chance.nextInt(3) == 0 ? (1 + chance.nextInt(40)) * MS / 4 : 0;
    request(tenant, hint, key, requestClass, write, false);
    long gap = (long) (shape.meanGapNanos() * pace * (0.2 + 1.6 * chance.nextDouble()));
    after(gap, this::arrive);
  }

  private int pickClass() {
    int roll = chance.nextInt(20);
    int classes = shape.settings().classes().size();
    return roll < 13 ? roll % 2 : roll % classes;
  }

  private long pickKey() {
    int roll = chance.nextInt(100);
    if (roll < 2) {
      return 0;
    }
    if (roll < 25) {
      return 7L + roll % 3;
    }
    int spread = chance.nextInt(300);
    return 10 + (long) spread * spread / 300;
  }

  private void request(
      int tenant, long hint, long key, int requestClass, boolean write, boolean again) {
    RequestClass type = shape.settings().classes().get(requestClass);
    long id = ++requests;
    long left = type.deadlineNanos() / (1 + chance.nextInt(3));
    RoutingEvent.RequestArrived arrival =
        new RoutingEvent.RequestArrived(id, tenant, hint, key, requestClass, left, again, write, 0);
    Client client = new Client(arrival, type, port);
    clients.put(id, client);
    after(left, () -> leave(client));
    if (chance.nextInt(40) == 0) {
      after(1L + chance.nextInt((int) (30 * MS)), () -> leave(client));
    }
    client.port.handle(arrival);
  }

  private void leave(Client client) {
    if (!client.done) {
      client.done = true;
      client.port.handle(new RoutingEvent.RequestCancelled(client.id));
      retryLater(client);
    }
  }

  private void retryLater(Client client) {
    if (chance.nextInt(3) == 0 && requests < 3L * shape.arrivals()) {
      RoutingEvent.RequestArrived a = client.arrival;
      long delay = 1L + chance.nextInt((int) (60 * MS));
      after(
          delay,
          () -> request(a.tenant(), a.workHintNanos(), a.key(), a.requestClass(), a.write(), true));
    }
  }

  // ---- servers

  private void start(Client client, SeededServer server, long allowFor) {
    Attempt attempt = new Attempt(server, client.attempts.size(), now);
    client.attempts.add(attempt);
    server.inFlight++;
    AttemptOutcome outcome = outcome(client, server);
    long elapsed = elapsed(client, server, outcome);
    if (elapsed >= allowFor) {
      after(allowFor, () -> end(client, attempt, AttemptOutcome.TIMEOUT, CacheStatus.NONE));
      return;
    }
    CacheStatus status = status(client, server, outcome);
    long whole = status == CacheStatus.MISS ? Math.min(elapsed * 4, allowFor - 1) : elapsed;
    if (outcome == AttemptOutcome.OK && client.type.streamed()) {
      after(whole / 2, () -> begin(client, attempt));
    }
    after(whole, () -> end(client, attempt, outcome, status));
  }

  private AttemptOutcome outcome(Client client, SeededServer server) {
    int roll = chance.nextInt(100);
    boolean origin = server.kind == ORIGIN_KIND;
    if (now < machineFailsUntil && roll < 60) {
      return AttemptOutcome.NOT_SENT;
    }
    if (server.down) {
      return roll < 50 ? AttemptOutcome.CONNECT_FAILED : AttemptOutcome.TIMEOUT;
    }
    if (server.inFlight > 12 && roll < 50) {
      return AttemptOutcome.REJECTED;
    }
    if (roll < server.errorPercent || (!origin && client.arrival.key() % 37 == 36 && roll < 80)) {
      return roll % 3 == 0 ? AttemptOutcome.RESET : AttemptOutcome.ERROR;
    }
    boolean cacheLacks =
        shape.settings().origin().cacheAside()
            && !origin
            && !client.arrival.write()
            && server.keys.get(client.arrival.key()) == null;
    return cacheLacks ? AttemptOutcome.MISS : AttemptOutcome.OK;
  }

  private long elapsed(Client client, SeededServer server, AttemptOutcome outcome) {
    if (outcome == AttemptOutcome.TIMEOUT) {
      return Long.MAX_VALUE;
    }
    if (outcome == AttemptOutcome.NOT_SENT) {
      return MS / 10;
    }
    long usual = (long) ((2 + 4 * chance.nextDouble()) * MS);
    long work = usual + client.arrival.workHintNanos() / 2;
    double busy = server.slowness * (1 + server.inFlight / 6.0);
    double rare = chance.nextInt(50) == 0 ? 15 : 1;
    double origin = server.kind == ORIGIN_KIND ? 3 * originSlowness : 1;
    return Math.max(1, (long) (work * busy * rare * origin));
  }

  private CacheStatus status(Client client, SeededServer server, AttemptOutcome outcome) {
    OriginSettings origin = shape.settings().origin();
    if (origin.cacheAside() || outcome != AttemptOutcome.OK || !origin.reportsCacheHits()) {
      return CacheStatus.NONE;
    }
    boolean holds = server.keys.get(client.arrival.key()) != null;
    return holds && !client.arrival.write() ? CacheStatus.HIT : CacheStatus.MISS;
  }

  private void begin(Client client, Attempt attempt) {
    if (attempt.open && !client.done) {
      client.port.handle(
          new RoutingEvent.ResponseStarted(
              client.id, now - attempt.sentAt, attempt.server.id, attempt.index));
    }
  }

  private void end(Client client, Attempt attempt, AttemptOutcome outcome, CacheStatus status) {
    if (!attempt.open) {
      return;
    }
    attempt.open = false;
    attempt.server.inFlight--;
    if (outcome == AttemptOutcome.MISS) {
      client.missedAt = client.missedAt == null ? attempt.server : client.missedAt;
    }
    if (outcome == AttemptOutcome.OK) {
      SeededServer keeper = attempt.server.kind == ORIGIN_KIND ? client.missedAt : attempt.server;
      if (keeper != null) {
        keeper.keys.put(client.arrival.key(), true);
      }
    }
    client.done |= outcome == AttemptOutcome.OK;
    RoutingEvent.AttemptClosed closed =
        new RoutingEvent.AttemptClosed(
            client.id,
            now - attempt.sentAt,
            client.done,
            attempt.server.id,
            outcome,
            status,
            attempt.index,
            report(attempt.server, outcome));
    client.port.handle(closed);
    if (chance.nextInt(200) == 0) {
      client.port.handle(closed);
    }
  }

  private float[] report(SeededServer server, AttemptOutcome outcome) {
    boolean none = shape.settings().loadReportFields().isEmpty() || !outcome.serverResponded();
    return none ? NO_REPORT : new float[] {0.5f, server.inFlight * (server.id == 2 ? 9 : 1)};
  }

  // ---- endpoint lists

  List<Endpoint> wholeList() {
    List<Endpoint> entries = new ArrayList<>();
    for (SeededServer server : servers.values()) {
      if (server.health != EndpointHealth.GONE) {
        entries.add(server.endpoint());
      }
    }
    return entries;
  }

  void delta(SeededServer server) {
    list(EndpointListKind.DELTA, List.of(server.endpoint()));
  }

  void list(EndpointListKind kind, List<Endpoint> entries) {
    port.handle(new RoutingEvent.EndpointsUpdated(order, kind, entries));
  }

  /** One router and the way its actions take effect; a router that was replaced keeps its own. */
  final class Port implements RoutingActions {
    private RingRouter router;

    void handle(RoutingEvent event) {
      router.handle(now, event);
    }

    @Override
    public void send(long request, long server, long allowFor) {
      record("send", request + " " + server + " " + allowFor);
      start(clients.get(request), servers.get(server), allowFor);
    }

    @Override
    public void cancel(long request, int attempt) {
      record("cancel", request + " " + attempt);
      Client client = clients.get(request);
      Attempt a = client.attempts.get(attempt);
      int roll = chance.nextInt(10);
      AttemptOutcome outcome = roll < 2 ? AttemptOutcome.SUPERSEDED : AttemptOutcome.CANCELLED;
      after(roll * MS / 4, () -> end(client, a, outcome, CacheStatus.NONE));
    }

    @Override
    public void reject(long request, long retryAfter, GiveUpReason why) {
      record("refuse " + why, request + " " + retryAfter);
      over(request);
    }

    @Override
    public void fail(long request, GiveUpReason why) {
      record("fail " + why, Long.toString(request));
      over(request);
    }

    private void over(long request) {
      Client client = clients.get(request);
      client.done = true;
      retryLater(client);
    }

    @Override
    public void setTimer(long delay, long token) {
      record("timer", delay + " " + token);
      after(delay, () -> handle(new RoutingEvent.TimerFired(token)));
    }

    @Override
    public void watchEndpoints(boolean on) {
      record("watch", Boolean.toString(on));
      boolean fails = chance.nextInt(4) == 0;
      after(
          (1 + chance.nextInt(20)) * MS,
          () ->
              list(
                  fails ? EndpointListKind.FAILED : EndpointListKind.FULL,
                  fails ? List.of() : wholeList()));
    }

    @Override
    public void fetchEndpoints() {
      record("fetch list", "");
    }

    @Override
    public void probe(long server) {
      record("probe", Long.toString(server));
    }

    @Override
    public void sendToPeer(int peer, byte[] body) {
      record("tell", Integer.toString(peer));
    }

    @Override
    public void closeIdleConnections(long server) {
      record("close idle", Long.toString(server));
    }

    @Override
    public void log(String text) {
      record("log", text);
    }
  }
}
