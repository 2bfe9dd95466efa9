package beaconturn.stats;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.LongSupplier;

/** Counters that include the health of the process and its cache servers. Safe for any thread. */
public final class HealthCounters extends Counters {
  private static final long NANOS_PER_MICRO = 1000;

  private final LongSupplier clock;
  private final LongAdder late = new LongAdder();
  private final LongAdder hits = new LongAdder();
  private final LongAdder misses = new LongAdder();
  private final Map<Long, CacheServerCounters> servers = new ConcurrentHashMap<>();

  /** The attempt counts of one cache server. */
  private static final class CacheServerCounters {
    private final LongAdder responded = new LongAdder();
    private final LongAdder failed = new LongAdder();
    private final LongAdder hits = new LongAdder();
    private final LongAdder hitMicros = new LongAdder();

    private void addTo(List<Metric> all, String name) {
      all.add(new Metric("cache_good." + name, responded.sum(), false));
      all.add(new Metric("cache_bad." + name, failed.sum(), false));
      all.add(new Metric("cache_hits." + name, hits.sum(), false));
      all.add(new Metric("cache_hit_micros." + name, hitMicros.sum(), false));
    }
  }

  /** Creates counters that use the router's clock, in nanoseconds. */
  public HealthCounters(LongSupplier clock) {
    this.clock = clock;
  }

  @Override
  public void requestSucceeded(long objectiveAtNanos) {
    if (clock.getAsLong() > objectiveAtNanos) {
      late.increment();
    }
  }

  @Override
  public void attemptEnded(
      long serverId, boolean responded, CacheLookup lookup, long tookNanos, boolean late) {
    CacheServerCounters server = servers.computeIfAbsent(serverId, id -> new CacheServerCounters());
    (responded ? server.responded : server.failed).increment();
    if (responded && lookup == CacheLookup.HIT) {
      hits.increment();
      server.hits.increment();
      server.hitMicros.add(tookNanos / NANOS_PER_MICRO);
    } else if (responded && lookup == CacheLookup.MISS) {
      misses.increment();
    }
  }

  /**
   * The current health metrics, including those of the given cache servers. Removes the counts of
   * all other cache servers.
   *
   * @param serverNames the names of the cache servers to include, by id
   */
  public List<Metric> health(Map<Long, String> serverNames) {
    servers.keySet().retainAll(serverNames.keySet());
    List<Metric> all = new ArrayList<>();
    all.add(new Metric("late", late.sum(), false));
    all.add(new Metric("hits", hits.sum(), false));
    all.add(new Metric("misses", misses.sum(), false));
    serverNames.forEach(
        (id, name) -> {
          CacheServerCounters server = servers.get(id);
          if (server != null) {
            server.addTo(all, name);
          }
        });
    return all;
  }
}
