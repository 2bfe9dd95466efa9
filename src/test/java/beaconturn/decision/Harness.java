package beaconturn.decision;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ObjIntConsumer;

/** Drives one module by its interface and keeps what it did, as text, in order. */
final class Harness implements RoutingActions {
  static final long MS = 1_000_000L;
  static final long SECOND = 1000 * MS;
  static final int ORIGIN_KIND = 9;
  static final int READ = 0;
  static final int KEYED_ALL = 1;
  static final int KEYED_ZONE = 2;
  static final int UNSAFE = 3;

  record Send(long request, long server, long allowFor) {}

  final List<String> actions = new ArrayList<>();
  final List<Send> sends = new ArrayList<>();
  final List<Long> refused = new ArrayList<>();
  final List<Long> failed = new ArrayList<>();
  final List<long[]> timers = new ArrayList<>();
  final RingRouter router;
  long now = 100 * SECOND;

  Harness(RoutingSettings settings) {
    this(settings, 7);
  }

  Harness(RoutingSettings settings, long seed) {
    router = new RingRouter(settings, seed, now, this);
  }

  /** A router in cacheAside mode that knows the given number of caches, and the origin as server 50. */
  static Harness cacheAside(int caches) {
    Harness h = new Harness(settings(true));
    h.caches(caches);
    h.list(EndpointListKind.DELTA, origin(50));
    return h;
  }

  static RoutingSettings settings(boolean cacheAside) {
    return settings(cacheAside, 1, List.of());
  }

  static RoutingSettings settings(boolean cacheAside, int routers, List<Tenant> tenants) {
    return settings(cacheAside, routers, tenants, 6);
  }

  static RoutingSettings settings(boolean cacheAside, int routers, List<Tenant> tenants, int tries) {
    List<RequestClass> classes =
        List.of(
            type(Idempotency.IDEMPOTENT, DeduplicationScope.ALL),
            type(Idempotency.IDEMPOTENCY_KEY, DeduplicationScope.ALL),
            type(Idempotency.IDEMPOTENCY_KEY, DeduplicationScope.ZONE),
            type(Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL));
    SafetyLimits rules =
        new SafetyLimits(20 * MS, 10 * SECOND, 0.2, 20 * SECOND, 250 * MS, 3, SECOND, false);
    RoutingPermissions may =
        new RoutingPermissions(
            true, false, false, true, true, tries, 2 * SECOND, 32, 250 * MS, 10 * SECOND);
    return new RoutingSettings(
        0,
        routers,
        0,
        true,
        false,
        false,
        0.1,
        5 * MS,
        classes,
        tenants,
        rules,
        may,
        new OriginSettings(cacheAside, cacheAside ? ORIGIN_KIND : -1, false, true, 0, 0),
        List.of());
  }

  static RoutingSettings reporting(RoutingSettings s, String name) {
    return with(s, s.permissions(), s.origin(), List.of(name));
  }

  /** The same where only the state of draining binds. */
  static RoutingSettings soft(RoutingSettings s) {
    SafetyLimits r = s.safetyLimits();
    return new RoutingSettings(
        s.routerIndex(),
        s.routerCount(),
        s.zone(),
        s.pollsDiscovery(),
        s.stableRatings(),
        s.priorityByWork(),
        s.overQuotaPriorityWeight(),
        s.tickNanos(),
        s.classes(),
        s.tenants(),
        new SafetyLimits(
            r.responseSlackNanos(),
            r.pollIntervalNanos(),
            r.coldCapacityShare(),
            r.warmUpNanos(),
            r.drainGraceNanos(),
            r.overloadMultiple(),
            r.overloadNanos(),
            true),
        s.permissions(),
        s.origin(),
        s.loadReportFields());
  }

  /**
   * The same where no request may have two attempts out, and where caches that fetch do not say so.
   */
  static RoutingSettings alone(RoutingSettings s) {
    RoutingPermissions may =
        new RoutingPermissions(
            true, false, false, true, false, 3, 2 * SECOND, 32, 250 * MS, 10 * SECOND);
    OriginSettings origin =
        new OriginSettings(s.origin().cacheAside(), s.origin().kind(), false, false, 0, 0);
    return with(s, may, origin, s.loadReportFields());
  }

  private static RoutingSettings with(
      RoutingSettings s, RoutingPermissions may, OriginSettings origin, List<String> reportNames) {
    return new RoutingSettings(
        s.routerIndex(),
        s.routerCount(),
        s.zone(),
        s.pollsDiscovery(),
        s.stableRatings(),
        s.priorityByWork(),
        s.overQuotaPriorityWeight(),
        s.tickNanos(),
        s.classes(),
        s.tenants(),
        s.safetyLimits(),
        may,
        origin,
        reportNames);
  }

  private static RequestClass type(Idempotency effect, DeduplicationScope scope) {
    return new RequestClass(effect, scope, 5 * SECOND, SECOND, 4 * SECOND, 1, 0, false);
  }

  static Endpoint cache(long id) {
    return entry(id, EndpointHealth.READY, 0);
  }

  static Endpoint entry(long id, EndpointHealth health, long bootTime) {
    return new Endpoint(id, (int) (id % 2), 0, (int) (id % 3), health, 1, bootTime);
  }

  static Endpoint origin(long id) {
    return new Endpoint(id, 0, ORIGIN_KIND, 0, EndpointHealth.READY, 1, 0);
  }

  void list(EndpointListKind kind, Endpoint... entries) {
    router.handle(now, new RoutingEvent.EndpointsUpdated(1, kind, List.of(entries)));
  }

  /** A router that may not hedge, with caches that fetch and do not say so if not cacheAside. */
  static Harness withoutHedging(boolean cacheAside, int routers, int caches) {
    Harness h = new Harness(alone(settings(cacheAside, routers, List.of())));
    h.caches(caches);
    return h;
  }

  /** The caches that so many keys go to first; each request is answered at once. */
  static Map<Long, Long> homes(Harness h, int keys) {
    Map<Long, Long> homes = new HashMap<>();
    for (long key = 1; key <= keys; key++) {
      h.arrive(key, READ, key * 7919);
      homes.put(key, h.last().server());
      h.close(h.last(), 0, AttemptOutcome.OK, true);
    }
    return homes;
  }

  /** The cache that the key goes to first. */
  long home(long key) {
    serve(99, key);
    return last().server();
  }

  void operatorOverride(long server, boolean out) {
    router.handle(now, new RoutingEvent.OperatorOverrideChanged(server, out, now));
  }

  void caches(int count) {
    Endpoint[] entries = new Endpoint[count];
    for (int i = 0; i < count; i++) {
      entries[i] = cache(i + 1);
    }
    list(EndpointListKind.CACHED, entries);
  }

  void arrive(long request, int type, long key) {
    arrive(request, type, key, 2 * SECOND);
  }

  void arrive(long request, int type, long key, long left) {
    boolean write = type != READ;
    router.handle(
        now, new RoutingEvent.RequestArrived(request, 0, 0, key, type, left, false, write, 0));
  }

  /** Reads of new keys so far apart; each send, with the attempt's number, is answered as asked. */
  void reads(int from, int to, long apart, ObjIntConsumer<Send> answer) {
    for (int i = from; i < to; i++) {
      now += apart;
      int first = sends.size();
      arrive(i, READ, 10_000 + i);
      for (int k = first; k < sends.size(); k++) {
        answer.accept(sends.get(k), k - first);
      }
    }
  }

  /**
   * Reads of new keys so far apart that are all answered; how many of their sends went to the
   * server.
   */
  long served(int from, int to, long apart, long server) {
    int before = sends.size();
    reads(from, to, apart, (send, attempt) -> close(send, attempt, AttemptOutcome.OK, true));
    return sends.subList(before, sends.size()).stream().filter(s -> s.server() == server).count();
  }

  /** A read of the given expected work (0: unknown), or a client's further try of one. */
  void read(long request, long key, long hint, boolean again) {
    router.handle(
        now,
        new RoutingEvent.RequestArrived(request, 0, hint, key, READ, 2 * SECOND, again, false, 0));
  }

  /**
   * A read that its cache answers, of the given expected work; returns when it would have been
   * late.
   */
  long sized(long request, long hint) {
    read(request, 10_000 + request, hint, false);
    long late = timers.get(timers.size() - 1)[0] - now;
    close(last(), 0, AttemptOutcome.OK, true);
    return late;
  }

  /** A read that its cache answers. */
  void serve(long request, long key) {
    arrive(request, READ, key);
    close(last(), 0, AttemptOutcome.OK, true);
  }

  /** A read that its cache lacks, so that it goes on to the origin. */
  void miss(long request, long key) {
    arrive(request, READ, key);
    close(last(), 0, AttemptOutcome.MISS, false);
  }

  void close(Send send, int attempt, AttemptOutcome ending, boolean closed) {
    close(send, attempt, ending, closed, 50 * MS);
  }

  void close(Send send, int attempt, AttemptOutcome ending, boolean closed, long elapsed) {
    router.handle(
        now,
        new RoutingEvent.AttemptClosed(
            send.request(),
            elapsed,
            closed,
            send.server(),
            ending,
            CacheStatus.NONE,
            attempt,
            new float[0]));
  }

  /** The last send is answered from what its cache holds, with a load report. */
  void hit(long elapsed, float... report) {
    answered(elapsed, CacheStatus.HIT, report);
  }

  /** The last send is answered by a fetch of its cache. */
  void fetched(long elapsed) {
    answered(elapsed, CacheStatus.MISS);
  }

  private void answered(long elapsed, CacheStatus note, float... report) {
    router.handle(
        now,
        new RoutingEvent.AttemptClosed(
            last().request(), elapsed, true, last().server(), AttemptOutcome.OK, note, 0, report));
  }

  /** Delivers all timers due within the given time, in order, and moves the clock there. */
  void pass(long time) {
    long until = now + time;
    while (true) {
      long[] next = null;
      for (long[] t : timers) {
        next = t[0] <= until && (next == null || t[0] < next[0]) ? t : next;
      }
      if (next == null) {
        now = until;
        return;
      }
      timers.remove(next);
      now = Math.max(now, next[0]);
      router.handle(now, new RoutingEvent.TimerFired(next[1]));
    }
  }

  Send last() {
    return sends.get(sends.size() - 1);
  }

  @Override
  public void send(long request, long server, long allowFor) {
    sends.add(new Send(request, server, allowFor));
    actions.add("send " + request + " " + server + " " + allowFor);
  }

  @Override
  public void cancel(long request, int attempt) {
    actions.add("cancel " + request + " " + attempt);
  }

  @Override
  public void reject(long request, long retryAfter, GiveUpReason why) {
    refused.add(request);
    actions.add("refuse " + request + " " + retryAfter);
  }

  @Override
  public void fail(long request, GiveUpReason why) {
    failed.add(request);
    actions.add("fail " + request);
  }

  @Override
  public void setTimer(long delay, long token) {
    if (delay < 0) {
      throw new IllegalArgumentException("timer in the past");
    }
    timers.add(new long[] {now + delay, token});
    actions.add("timer " + delay + " " + token);
  }

  @Override
  public void watchEndpoints(boolean on) {
    actions.add("watch " + on);
  }

  @Override
  public void fetchEndpoints() {
    actions.add("fetch list");
  }

  @Override
  public void probe(long server) {
    actions.add("probe " + server);
  }

  @Override
  public void sendToPeer(int peer, byte[] body) {
    actions.add("tell " + peer);
  }

  @Override
  public void closeIdleConnections(long server) {
    actions.add("close " + server);
  }

  @Override
  public void log(String text) {
    actions.add("log " + text);
  }
}
