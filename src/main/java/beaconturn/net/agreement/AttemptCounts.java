package beaconturn.net.agreement;

import beaconturn.core.CacheServerClients;
import beaconturn.net.io.Fnv1a;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

/**
 * Attempts counted by cache server as they end, on any thread, and added up by zone, on the thread
 * that reports. The sums only grow: counts of servers that are gone stay in their zone's.
 */
final class AttemptCounts {
  private static final long MICRO_NANOS = 1000;

  private final List<String> zones;
  private final Map<Long, ServerCounts> servers = new ConcurrentHashMap<>();

  /** What of each server's counts is in the sums already. */
  private final Map<Long, Totals> summed = new HashMap<>();

  private final Map<String, Totals> sums = new HashMap<>();

  AttemptCounts(List<String> zones) {
    this.zones = zones;
  }

  /** What came of attempts at one cache server. */
  private static final class ServerCounts {
    private final LongAdder good = new LongAdder();
    private final LongAdder bad = new LongAdder();
    private final LongAdder goodMicros = new LongAdder();

    private Totals totals() {
      return new Totals(good.sum(), bad.sum(), goodMicros.sum());
    }
  }

  /** Counts at one time. */
  record Totals(long good, long bad, long goodMicros) {
    static final Totals NONE = new Totals(0, 0, 0);

    private Totals plus(Totals other) {
      return new Totals(good + other.good, bad + other.bad, goodMicros + other.goodMicros);
    }

    private Totals minus(Totals other) {
      return new Totals(good - other.good, bad - other.bad, goodMicros - other.goodMicros);
    }
  }

  /** Counts an attempt that has ended; any thread. */
  void add(long serverId, boolean goodInTime, long tookNanos) {
    ServerCounts counts = servers.computeIfAbsent(serverId, id -> new ServerCounts());
    if (goodInTime) {
      counts.good.increment();
      counts.goodMicros.add(tookNanos / MICRO_NANOS);
    } else {
      counts.bad.increment();
    }
  }

  /** Adds what came since the last time to the sums of the zones that servers are listed in. */
  void sumUp(Collection<CacheServerClients.ListedServer> listedServers) {
    for (CacheServerClients.ListedServer listed : listedServers) {
      long serverId = Fnv1a.of(listed.name());
      ServerCounts counts = servers.get(serverId);
      if (counts != null && listed.zone() < zones.size()) {
        Totals now = counts.totals();
        Totals before = summed.getOrDefault(serverId, Totals.NONE);
        sums.merge(zones.get(listed.zone()), now.minus(before), Totals::plus);
        summed.put(serverId, now);
      }
    }
  }

  /** The sums of a zone. */
  Totals of(String zone) {
    return sums.getOrDefault(zone, Totals.NONE);
  }
}
