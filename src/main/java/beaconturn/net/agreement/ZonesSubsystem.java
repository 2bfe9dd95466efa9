package beaconturn.net.agreement;

import beaconturn.agreement.StoreRequest;
import beaconturn.core.CacheServerClients;
import beaconturn.core.Clock;
import beaconturn.decision.ServerStatus;
import beaconturn.decision.ZoneWeights;
import beaconturn.net.RouterConfig;
import beaconturn.net.ZoneWeightsSource;
import beaconturn.net.io.Fnv1a;
import beaconturn.stats.CacheLookup;
import beaconturn.zones.ZoneMember;
import beaconturn.zones.ZoneObservations;
import beaconturn.zones.ZoneReport;
import beaconturn.zones.ZoneTopology;
import beaconturn.zones.ZonesKeys;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * A router's part in what is decided of places, on a thread of its own with a connection of its own
 * to the store. Attempts are counted by cache server, as they end, and added up by place for each
 * report.
 */
public final class ZonesSubsystem implements ZoneWeightsSource, ZoneMember.Router {
  private static final Logger LOG = Logger.getLogger(ZonesSubsystem.class.getName());
  private static final long MICRO = 1000;

  /** A lease that ends is looked for so often at least. */
  private static final long LONGEST_WAIT = 50_000_000;

  private final AgreementConfig config;
  private final List<String> zones;
  private final String home;
  private final String me;
  private final Clock clock = Clock.system();
  private final ZoneMember follower;
  private final Map<Long, OfServer> servers = new ConcurrentHashMap<>();
  private final LongAdder arrivals = new LongAdder();
  private final Counts counts = new Counts();
  private volatile Map<CacheServerClients.ListedServer, ServerStatus> seen = Map.of();
  private volatile Shown shown;
  private volatile boolean stopped;

  /** What came of attempts at one cache server. */
  private static final class OfServer {
    private final LongAdder good = new LongAdder();
    private final LongAdder bad = new LongAdder();
    private final LongAdder micros = new LongAdder();
  }

  /** Shares, and what they were made of. */
  private record Shown(ZoneMember.Due of, ZoneWeights shares) {}

  /** A part that asks nobody before it is run; its place is the router's zone. */
  public ZonesSubsystem(AgreementConfig config, ZoneTopology map, RouterConfig router) {
    this.config = config;
    this.zones = router.settings().zones();
    this.home = zones.get(router.settings().routing().zone());
    long now = clock.now();
    this.me = router.name() + "/" + Long.toHexString(now) + "-" + ProcessHandle.current().pid();
    this.follower =
        new ZoneMember(
            new ZonesKeys(config.fleet()),
            map,
            config.timing(),
            home,
            me,
            router.seed() ^ now,
            now,
            this,
            LOG::info);
  }

  @Override
  public void run() {
    StoreClient store = new StoreClient(config.endpoints(), config.timing().requestTimeoutNanos());
    try {
      while (!stopped) {
        follower.look(clock.now());
        StoreRequest call = follower.next(clock.now());
        if (call != null) {
          follower.answered(clock.now(), store.ask(call));
        } else {
          await(Math.min(LONGEST_WAIT, follower.wakeAt() - clock.now()));
        }
      }
      follower.leave().forEach(store::ask);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (RuntimeException | Error e) {
      LOG.log(Level.SEVERE, "what is decided of places is not followed any more: near", e);
    } finally {
      store.close();
    }
  }

  private synchronized void await(long nanos) throws InterruptedException {
    if (nanos > 0 && !stopped) {
      TimeUnit.NANOSECONDS.timedWait(this, nanos);
    }
  }

  @Override
  public synchronized void leave() {
    stopped = true;
    notifyAll();
  }

  @Override
  public ZoneWeights dueWeights() {
    ZoneMember.Due due = follower.due(clock.now());
    Shown last = shown;
    if (last == null || !last.of().equals(due)) {
      last = new Shown(due, shares(due));
      shown = last;
    }
    return last.shares();
  }

  private ZoneWeights shares(ZoneMember.Due due) {
    List<Integer> places = new ArrayList<>();
    List<Integer> parts = new ArrayList<>();
    due.row()
        .parts()
        .forEach(
            (place, part) -> {
              if (zones.contains(place)) {
                places.add(zones.indexOf(place));
                parts.add(part);
              }
            });
    return new ZoneWeights(places, parts, due.overflow());
  }

  @Override
  public void serverStatuses(Map<CacheServerClients.ListedServer, ServerStatus> caches) {
    seen = caches;
  }

  @Override
  public void requestRouted() {
    arrivals.increment();
  }

  @Override
  public void attemptEnded(long server, boolean good, CacheLookup lookup, long took, boolean late) {
    OfServer of = servers.computeIfAbsent(server, id -> new OfServer());
    if (good && !late) {
      of.good.increment();
      of.micros.add(took / MICRO);
    } else {
      of.bad.increment();
    }
  }

  /** Counts of servers that are gone stay in their place's sums: what only grows must not fall. */
  @Override
  public ZoneReport sees(String router, long number, long plan) {
    Map<String, long[]> sums = new HashMap<>();
    Map<CacheServerClients.ListedServer, ServerStatus> now = seen;
    now.forEach(
        (listed, standing) -> {
          if (listed.zone() < zones.size()) {
            long[] sum = sums.computeIfAbsent(zones.get(listed.zone()), z -> new long[3]);
            boolean there = standing != ServerStatus.GONE && standing != ServerStatus.DRAINING;
            sum[0] += there ? 1 : 0;
            sum[1] += standing == ServerStatus.ACTIVE ? 1 : 0;
            sum[2] += standing == ServerStatus.EJECTED ? 1 : 0;
          }
        });
    counts.count(now);
    SortedMap<String, ZoneObservations> places = new TreeMap<>();
    for (String zone : zones) {
      long[] sum = sums.getOrDefault(zone, new long[3]);
      long[] counted = counts.of(zone);
      places.put(
          zone,
          new ZoneObservations(
              counted[0], counted[1], counted[2], (int) sum[0], (int) sum[1], (int) sum[2]));
    }
    return new ZoneReport(router, home, number, plan, arrivals.sum(), places);
  }

  /** Sums by place that only grow, of counts by server; for the one thread that asks. */
  private final class Counts {
    private final Map<Long, long[]> told = new HashMap<>();
    private final Map<String, long[]> sums = new HashMap<>();

    private void count(Map<CacheServerClients.ListedServer, ServerStatus> now) {
      now.keySet()
          .forEach(
              listed -> {
                long id = Fnv1a.of(listed.name());
                OfServer of = servers.get(id);
                if (of != null && listed.zone() < zones.size()) {
                  long[] last = told.computeIfAbsent(id, i -> new long[3]);
                  long[] sum = sums.computeIfAbsent(zones.get(listed.zone()), z -> new long[3]);
                  long[] is = {of.good.sum(), of.bad.sum(), of.micros.sum()};
                  for (int i = 0; i < is.length; i++) {
                    sum[i] += is[i] - last[i];
                    last[i] = is[i];
                  }
                }
              });
    }

    private long[] of(String zone) {
      return sums.getOrDefault(zone, new long[3]);
    }
  }
}
