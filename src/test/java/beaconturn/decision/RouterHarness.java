package beaconturn.decision;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ObjIntConsumer;

/** Drives one router through its public interface and records its actions as text, in order. */
final class RouterHarness implements RoutingActions {
  static final long MS = 1_000_000L;
  static final long SECOND = 1000 * MS;
  static final int ORIGIN_KIND = 9;
  static final int READ = 0;
  static final int KEYED_ALL = 1;
  static final int KEYED_ZONE = 2;
  static final int UNSAFE = 3;

  record Send(long requestId, long serverId, long timeoutNanos) {}

  final List<String> actions = new ArrayList<>();
  final List<Send> sends = new ArrayList<>();
  final List<Long> rejected = new ArrayList<>();
  final List<Long> failed = new ArrayList<>();
  final List<long[]> timers = new ArrayList<>();
  final RingRouter router;
  long nowNanos = 100 * SECOND;

  RouterHarness(RoutingSettings settings) {
    this(settings, 7);
  }

  RouterHarness(RoutingSettings settings, long seed) {
    router = new RingRouter(settings, seed, nowNanos, this);
  }

  /**
   * Creates a router in cache-aside mode with the given number of caches, and with the origin as
   * server 50.
   */
  static RouterHarness cacheAside(int caches) {
    RouterHarness harness = new RouterHarness(settings(true));
    harness.addCaches(caches);
    harness.updateEndpoints(EndpointListKind.DELTA, originEndpoint(50));
    return harness;
  }

  static RoutingSettings settings(boolean cacheAside) {
    return settings(cacheAside, 1, List.of());
  }

  static RoutingSettings settings(boolean cacheAside, int routerCount, List<Tenant> tenants) {
    return settings(cacheAside, routerCount, tenants, 6);
  }

  static RoutingSettings settings(
      boolean cacheAside, int routerCount, List<Tenant> tenants, int maxAttempts) {
    List<RequestClass> classes =
        List.of(
            requestClass(Idempotency.IDEMPOTENT, DeduplicationScope.ALL),
            requestClass(Idempotency.IDEMPOTENCY_KEY, DeduplicationScope.ALL),
            requestClass(Idempotency.IDEMPOTENCY_KEY, DeduplicationScope.ZONE),
            requestClass(Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL));
    SafetyLimits limits =
        new SafetyLimits(20 * MS, 10 * SECOND, 0.2, 20 * SECOND, 250 * MS, 3, SECOND, false);
    RoutingPermissions permissions =
        new RoutingPermissions(
            true, false, false, true, true, maxAttempts, 2 * SECOND, 32, 250 * MS, 10 * SECOND);
    return new RoutingSettings(
        0,
        routerCount,
        0,
        true,
        false,
        false,
        0.1,
        5 * MS,
        classes,
        tenants,
        limits,
        permissions,
        new OriginSettings(cacheAside, cacheAside ? ORIGIN_KIND : -1, false, true, 0, 0),
        List.of());
  }

  static RoutingSettings withLoadReport(RoutingSettings settings, String name) {
    return copyOf(settings, settings.permissions(), settings.origin(), List.of(name));
  }

  /** Returns the settings with advisory removal: only the draining state is binding. */
  static RoutingSettings withAdvisoryRemoval(RoutingSettings settings) {
    SafetyLimits limits = settings.safetyLimits();
    return new RoutingSettings(
        settings.routerIndex(),
        settings.routerCount(),
        settings.zone(),
        settings.pollsDiscovery(),
        settings.stableRatings(),
        settings.priorityByWork(),
        settings.overQuotaPriorityWeight(),
        settings.tickNanos(),
        settings.classes(),
        settings.tenants(),
        new SafetyLimits(
            limits.responseSlackNanos(),
            limits.pollIntervalNanos(),
            limits.coldCapacityShare(),
            limits.warmUpNanos(),
            limits.drainGraceNanos(),
            limits.overloadMultiple(),
            limits.overloadNanos(),
            true),
        settings.permissions(),
        settings.origin(),
        settings.loadReportFields());
  }

  /** Returns the settings without hedging, and without hit reports of read-through caches. */
  static RoutingSettings withoutHedgingOrHitReports(RoutingSettings settings) {
    RoutingPermissions permissions =
        new RoutingPermissions(
            true, false, false, true, false, 3, 2 * SECOND, 32, 250 * MS, 10 * SECOND);
    OriginSettings origin =
        new OriginSettings(
            settings.origin().cacheAside(), settings.origin().kind(), false, false, 0, 0);
    return copyOf(settings, permissions, origin, settings.loadReportFields());
  }

  private static RoutingSettings copyOf(
      RoutingSettings settings,
      RoutingPermissions permissions,
      OriginSettings origin,
      List<String> loadReportFields) {
    return new RoutingSettings(
        settings.routerIndex(),
        settings.routerCount(),
        settings.zone(),
        settings.pollsDiscovery(),
        settings.stableRatings(),
        settings.priorityByWork(),
        settings.overQuotaPriorityWeight(),
        settings.tickNanos(),
        settings.classes(),
        settings.tenants(),
        settings.safetyLimits(),
        permissions,
        origin,
        loadReportFields);
  }

  private static RequestClass requestClass(Idempotency idempotency, DeduplicationScope scope) {
    return new RequestClass(idempotency, scope, 5 * SECOND, SECOND, 4 * SECOND, 1, 0, false);
  }

  static Endpoint readyEndpoint(long id) {
    return endpoint(id, EndpointHealth.READY, 0);
  }

  static Endpoint endpoint(long id, EndpointHealth health, long bootTimeNanos) {
    return new Endpoint(id, (int) (id % 2), 0, (int) (id % 3), health, 1, bootTimeNanos);
  }

  static Endpoint originEndpoint(long id) {
    return new Endpoint(id, 0, ORIGIN_KIND, 0, EndpointHealth.READY, 1, 0);
  }

  void updateEndpoints(EndpointListKind kind, Endpoint... entries) {
    router.handle(nowNanos, new RoutingEvent.EndpointsUpdated(1, kind, List.of(entries)));
  }

  /** Creates a router without hedging and without hit reports of read-through caches. */
  static RouterHarness withoutHedging(boolean cacheAside, int routerCount, int caches) {
    RouterHarness harness =
        new RouterHarness(withoutHedgingOrHitReports(settings(cacheAside, routerCount, List.of())));
    harness.addCaches(caches);
    return harness;
  }

  /** Returns the first cache for each of {@code keys} keys; each request succeeds immediately. */
  static Map<Long, Long> homeCaches(RouterHarness harness, int keys) {
    Map<Long, Long> homes = new HashMap<>();
    for (long key = 1; key <= keys; key++) {
      harness.arrive(key, READ, key * 7919);
      homes.put(key, harness.lastSend().serverId());
      harness.closeAttempt(harness.lastSend(), 0, AttemptOutcome.OK, true);
    }
    return homes;
  }

  /** Returns the first cache for the key. */
  long homeCache(long key) {
    readFromCache(99, key);
    return lastSend().serverId();
  }

  void operatorOverride(long serverId, boolean excluded) {
    router.handle(nowNanos, new RoutingEvent.OperatorOverrideChanged(serverId, excluded, nowNanos));
  }

  void addCaches(int count) {
    Endpoint[] entries = new Endpoint[count];
    for (int i = 0; i < count; i++) {
      entries[i] = readyEndpoint(i + 1);
    }
    updateEndpoints(EndpointListKind.CACHED, entries);
  }

  void arrive(long requestId, int requestClass, long key) {
    arrive(requestId, requestClass, key, 2 * SECOND);
  }

  void arrive(long requestId, int requestClass, long key, long remainingNanos) {
    boolean write = requestClass != READ;
    router.handle(
        nowNanos,
        new RoutingEvent.RequestArrived(
            requestId, 0, 0, key, requestClass, remainingNanos, false, write, 0));
  }

  /**
   * Reads new keys at intervals of {@code gapNanos}; {@code respond} is called with each send and
   * the attempt index.
   */
  void reads(int from, int to, long gapNanos, ObjIntConsumer<Send> respond) {
    for (int i = from; i < to; i++) {
      nowNanos += gapNanos;
      int first = sends.size();
      arrive(i, READ, 10_000 + i);
      for (int k = first; k < sends.size(); k++) {
        respond.accept(sends.get(k), k - first);
      }
    }
  }

  /**
   * Reads new keys at intervals of {@code gapNanos}, all successful; returns how many sends went to
   * the server.
   */
  long countReadsSentTo(int from, int to, long gapNanos, long serverId) {
    int before = sends.size();
    reads(
        from,
        to,
        gapNanos,
        (send, attempt) -> closeAttempt(send, attempt, AttemptOutcome.OK, true));
    return sends.subList(before, sends.size()).stream()
        .filter(send -> send.serverId() == serverId)
        .count();
  }

  /** Sends a read with the given expected work (0 if unknown), or a client retry of such a read. */
  void readWithHint(long requestId, long key, long workHintNanos, boolean clientRetry) {
    router.handle(
        nowNanos,
        new RoutingEvent.RequestArrived(
            requestId, 0, workHintNanos, key, READ, 2 * SECOND, clientRetry, false, 0));
  }

  /**
   * Sends a read with the given expected work, which succeeds; returns the time after which the
   * attempt would have been late.
   */
  long lateAfterNanos(long requestId, long workHintNanos) {
    readWithHint(requestId, 10_000 + requestId, workHintNanos, false);
    long lateAfterNanos = timers.get(timers.size() - 1)[0] - nowNanos;
    closeAttempt(lastSend(), 0, AttemptOutcome.OK, true);
    return lateAfterNanos;
  }

  /** Sends a read that its cache serves. */
  void readFromCache(long requestId, long key) {
    arrive(requestId, READ, key);
    closeAttempt(lastSend(), 0, AttemptOutcome.OK, true);
  }

  /** Sends a read that misses at its cache. */
  void readMissing(long requestId, long key) {
    arrive(requestId, READ, key);
    closeAttempt(lastSend(), 0, AttemptOutcome.MISS, false);
  }

  void closeAttempt(Send send, int attempt, AttemptOutcome outcome, boolean requestClosed) {
    closeAttempt(send, attempt, outcome, requestClosed, 50 * MS);
  }

  void closeAttempt(
      Send send, int attempt, AttemptOutcome outcome, boolean requestClosed, long elapsedNanos) {
    router.handle(
        nowNanos,
        new RoutingEvent.AttemptClosed(
            send.requestId(),
            elapsedNanos,
            requestClosed,
            send.serverId(),
            outcome,
            CacheStatus.NONE,
            attempt,
            new float[0]));
  }

  /** Responds to the last send from the cache, with a load report. */
  void respondFromCache(long elapsedNanos, float... report) {
    closeWithStatus(elapsedNanos, CacheStatus.HIT, report);
  }

  /** Responds to the last send after a fetch by the cache. */
  void respondAfterFetch(long elapsedNanos) {
    closeWithStatus(elapsedNanos, CacheStatus.MISS);
  }

  private void closeWithStatus(long elapsedNanos, CacheStatus cacheStatus, float... report) {
    router.handle(
        nowNanos,
        new RoutingEvent.AttemptClosed(
            lastSend().requestId(),
            elapsedNanos,
            true,
            lastSend().serverId(),
            AttemptOutcome.OK,
            cacheStatus,
            0,
            report));
  }

  /** Fires all timers due within the given duration, in order, and advances the clock. */
  void advance(long durationNanos) {
    long untilNanos = nowNanos + durationNanos;
    while (true) {
      long[] next = null;
      for (long[] timer : timers) {
        next = timer[0] <= untilNanos && (next == null || timer[0] < next[0]) ? timer : next;
      }
      if (next == null) {
        nowNanos = untilNanos;
        return;
      }
      timers.remove(next);
      nowNanos = Math.max(nowNanos, next[0]);
      router.handle(nowNanos, new RoutingEvent.TimerFired(next[1]));
    }
  }

  Send lastSend() {
    return sends.get(sends.size() - 1);
  }

  @Override
  public void send(long requestId, long serverId, long timeoutNanos) {
    sends.add(new Send(requestId, serverId, timeoutNanos));
    actions.add("send " + requestId + " " + serverId + " " + timeoutNanos);
  }

  @Override
  public void cancel(long requestId, int attempt) {
    actions.add("cancel " + requestId + " " + attempt);
  }

  @Override
  public void reject(long requestId, long retryAfterNanos, GiveUpReason reason) {
    rejected.add(requestId);
    actions.add("reject " + requestId + " " + retryAfterNanos);
  }

  @Override
  public void fail(long requestId, GiveUpReason reason) {
    failed.add(requestId);
    actions.add("fail " + requestId);
  }

  @Override
  public void setTimer(long delayNanos, long token) {
    if (delayNanos < 0) {
      throw new IllegalArgumentException("negative timer delay");
    }
    timers.add(new long[] {nowNanos + delayNanos, token});
    actions.add("timer " + delayNanos + " " + token);
  }

  @Override
  public void watchEndpoints(boolean on) {
    actions.add("watch " + on);
  }

  @Override
  public void fetchEndpoints() {
    actions.add("fetch endpoints");
  }

  @Override
  public void probe(long serverId) {
    actions.add("probe " + serverId);
  }

  @Override
  public void sendToPeer(int peer, byte[] body) {
    actions.add("send to peer " + peer);
  }

  @Override
  public void closeIdleConnections(long serverId) {
    actions.add("close " + serverId);
  }

  @Override
  public void log(String text) {
    actions.add("log " + text);
  }
}
