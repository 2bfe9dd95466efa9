package beaconturn.net.agreement;

import beaconturn.agreement.StoreRequest;
import beaconturn.core.CacheServerClients;
import beaconturn.core.Clock;
import beaconturn.decision.ServerStatus;
import beaconturn.decision.ZoneWeights;
import beaconturn.net.RouterConfig;
import beaconturn.net.ZoneWeightsSource;
import beaconturn.stats.CacheLookup;
import beaconturn.zones.EffectiveAllocation;
import beaconturn.zones.ZoneMember;
import beaconturn.zones.ZoneObservations;
import beaconturn.zones.ZoneReport;
import beaconturn.zones.ZoneReportSource;
import beaconturn.zones.ZoneTopology;
import beaconturn.zones.ZonesKeys;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import java.util.logging.Level;
import java.util.logging.Logger;

/** Runs a router's zone member on its own thread, with its own connection to the store. */
public final class ZonesSubsystem implements ZoneWeightsSource, ZoneReportSource {
  private static final Logger LOG = Logger.getLogger(ZonesSubsystem.class.getName());

  /** Upper bound on the wait, so that an expired lease is noticed in time. */
  private static final long MAX_WAIT_NANOS = 50_000_000;

  private final AgreementConfig config;
  private final List<String> zones;
  private final String homeZone;
  private final Clock clock = Clock.system();
  private final ZoneMember member;
  private final LongAdder arrivals = new LongAdder();
  private final AttemptCounts attempts;
  private volatile Map<CacheServerClients.ListedServer, ServerStatus> serverStatuses = Map.of();
  private volatile CachedWeights cachedWeights;
  private volatile boolean stopped;

  /** Zone weights with the allocation that they were computed from. */
  private record CachedWeights(EffectiveAllocation due, ZoneWeights weights) {}

  /** Creates the subsystem; it sends no request before {@link #run}. */
  public ZonesSubsystem(AgreementConfig config, ZoneTopology topology, RouterConfig router) {
    this.config = config;
    this.zones = router.settings().zones();
    this.homeZone = zones.get(router.settings().routing().zone());
    this.attempts = new AttemptCounts(zones);
    long nowNanos = clock.now();
    String incarnation = Long.toHexString(nowNanos) + "-" + ProcessHandle.current().pid();
    this.member =
        new ZoneMember(
            new ZonesKeys(config.fleet()),
            topology,
            config.timing(),
            homeZone,
            router.name() + "/" + incarnation,
            router.seed() ^ nowNanos,
            nowNanos,
            this,
            LOG::info);
  }

  @Override
  public void run() {
    StoreClient store = new StoreClient(config.endpoints(), config.timing().requestTimeoutNanos());
    try {
      while (!stopped) {
        drive(store);
      }
      member.leave().forEach(store::ask);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (RuntimeException | Error e) {
      LOG.log(
          Level.SEVERE,
          "zones: the member's thread failed; the router falls back to its home zone's allocation",
          e);
    } finally {
      store.close();
    }
  }

  /** Sends one request, or waits until one may be due. */
  private void drive(StoreClient store) throws InterruptedException {
    member.refresh(clock.now());
    StoreRequest request = member.nextRequest(clock.now());
    if (request != null) {
      member.handleResponse(clock.now(), store.ask(request));
    } else {
      await(Math.min(MAX_WAIT_NANOS, member.nextRequestAtNanos() - clock.now()));
    }
  }

  private synchronized void await(long waitNanos) throws InterruptedException {
    if (waitNanos > 0 && !stopped) {
      TimeUnit.NANOSECONDS.timedWait(this, waitNanos);
    }
  }

  @Override
  public synchronized void leave() {
    stopped = true;
    notifyAll();
  }

  @Override
  public ZoneWeights dueWeights() {
    EffectiveAllocation due = member.allocationAt(clock.now());
    CachedWeights cached = cachedWeights;
    if (cached == null || !cached.due().equals(due)) {
      cached = new CachedWeights(due, weights(due));
      cachedWeights = cached;
    }
    return cached.weights();
  }

  private ZoneWeights weights(EffectiveAllocation due) {
    List<Integer> zoneIndexes = new ArrayList<>();
    List<Integer> weights = new ArrayList<>();
    due.allocation()
        .weights()
        .forEach(
            (zone, weight) -> {
              if (zones.contains(zone)) {
                zoneIndexes.add(zones.indexOf(zone));
                weights.add(weight);
              }
            });
    return new ZoneWeights(zoneIndexes, weights, due.overflow());
  }

  @Override
  public void serverStatuses(Map<CacheServerClients.ListedServer, ServerStatus> statuses) {
    serverStatuses = statuses;
  }

  @Override
  public void requestRouted() {
    arrivals.increment();
  }

  @Override
  public void attemptEnded(
      long serverId, boolean succeeded, CacheLookup lookup, long durationNanos, boolean late) {
    attempts.add(serverId, succeeded && !late, durationNanos);
  }

  @Override
  public ZoneReport report(String router, long sequenceNumber, long planNumber) {
    Map<CacheServerClients.ListedServer, ServerStatus> statuses = serverStatuses;
    attempts.aggregate(statuses.keySet());
    SortedMap<String, ZoneObservations> observations = new TreeMap<>();
    for (int index = 0; index < zones.size(); index++) {
      observations.put(zones.get(index), observations(index, statuses));
    }
    return new ZoneReport(
        router, homeZone, sequenceNumber, planNumber, arrivals.sum(), observations);
  }

  private ZoneObservations observations(
      int zoneIndex, Map<CacheServerClients.ListedServer, ServerStatus> statuses) {
    List<ServerStatus> inZone = new ArrayList<>();
    statuses.forEach(
        (listed, status) -> {
          if (listed.zone() == zoneIndex) {
            inZone.add(status);
          }
        });
    long leavingCount =
        inZone.stream()
            .filter(status -> status == ServerStatus.GONE || status == ServerStatus.DRAINING)
            .count();
    AttemptCounts.Totals totals = attempts.of(zones.get(zoneIndex));
    return new ZoneObservations(
        totals.succeeded(),
        totals.failed(),
        totals.succeededMicros(),
        (int) (inZone.size() - leavingCount),
        count(inZone, ServerStatus.ACTIVE),
        count(inZone, ServerStatus.EJECTED));
  }

  private static int count(List<ServerStatus> statuses, ServerStatus counted) {
    return (int) statuses.stream().filter(status -> status == counted).count();
  }
}
