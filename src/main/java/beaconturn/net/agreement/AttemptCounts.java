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
 * Counts finished attempts by cache server, on any thread, and aggregates them by zone, on the
 * reporting thread. The totals of a zone never decrease: they keep the counts of removed servers.
 */
final class AttemptCounts {
  private static final long NANOS_PER_MICRO = 1000;

  private final List<String> zones;
  private final Map<Long, ServerCounts> servers = new ConcurrentHashMap<>();

  /** The part of each server's counts that is already included in the zone totals. */
  private final Map<Long, Totals> aggregated = new HashMap<>();

  private final Map<String, Totals> zoneTotals = new HashMap<>();

  AttemptCounts(List<String> zones) {
    this.zones = zones;
  }

  private static final class ServerCounts {
    private final LongAdder succeeded = new LongAdder();
    private final LongAdder failed = new LongAdder();
    private final LongAdder succeededMicros = new LongAdder();

    private Totals totals() {
      return new Totals(succeeded.sum(), failed.sum(), succeededMicros.sum());
    }
  }

  /**
   * Counts at one time.
   *
   * @param succeeded attempts that succeeded in time
   * @param failed attempts that failed or were late
   * @param succeededMicros total duration of the succeeded attempts
   */
  record Totals(long succeeded, long failed, long succeededMicros) {
    static final Totals NONE = new Totals(0, 0, 0);

    private Totals plus(Totals other) {
      return new Totals(
          succeeded + other.succeeded,
          failed + other.failed,
          succeededMicros + other.succeededMicros);
    }

    private Totals minus(Totals other) {
      return new Totals(
          succeeded - other.succeeded,
          failed - other.failed,
          succeededMicros - other.succeededMicros);
    }
  }

  /** Counts a finished attempt; any thread. */
  void add(long serverId, boolean succeededInTime, long durationNanos) {
    ServerCounts counts = servers.computeIfAbsent(serverId, id -> new ServerCounts());
    if (succeededInTime) {
      counts.succeeded.increment();
      counts.succeededMicros.add(durationNanos / NANOS_PER_MICRO);
    } else {
      counts.failed.increment();
    }
  }

  /** Adds the counts since the last call to the totals of the zones that list the servers. */
  void aggregate(Collection<CacheServerClients.ListedServer> listedServers) {
    for (CacheServerClients.ListedServer listed : listedServers) {
      long serverId = Fnv1a.of(listed.name());
      ServerCounts counts = servers.get(serverId);
      if (counts != null && listed.zone() < zones.size()) {
        Totals now = counts.totals();
        Totals before = aggregated.getOrDefault(serverId, Totals.NONE);
        zoneTotals.merge(zones.get(listed.zone()), now.minus(before), Totals::plus);
        aggregated.put(serverId, now);
      }
    }
  }

  Totals of(String zone) {
    return zoneTotals.getOrDefault(zone, Totals.NONE);
  }
}
