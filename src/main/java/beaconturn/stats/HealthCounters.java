package beaconturn.stats;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.LongSupplier;

/**
 * Counters that also tell how well a process and the cache servers that it uses answer; any thread.
 */
public final class HealthCounters extends Counters {
  private static final long NANOS_PER_MICRO = 1000;

  private final LongSupplier clock;
  private final LongAdder late = new LongAdder();
  private final LongAdder hits = new LongAdder();
  private final LongAdder misses = new LongAdder();
  private final Map<Long, CacheServerCounters> servers = new ConcurrentHashMap<>();

  /** What one cache server made of the attempts that it got. */
  private static final class CacheServerCounters {
    private final LongAdder answered = new LongAdder();
    private final LongAdder unanswered = new LongAdder();
    private final LongAdder hits = new LongAdder();
    private final LongAdder hitMicros = new LongAdder();

    private void addTo(List<Metric> all, String name) {
      all.add(new Metric("cache_good." + name, answered.sum(), false));
      all.add(new Metric("cache_bad." + name, unanswered.sum(), false));
      all.add(new Metric("cache_hits." + name, hits.sum(), false));
      all.add(new Metric("cache_hit_micros." + name, hitMicros.sum(), false));
    }
  }

  /** Counts by the router's clock, in nanoseconds. */
  public HealthCounters(LongSupplier clock) {
    this.clock = clock;
  }

  @Override
  public void answeredWithObjective(long objectiveAtNanos) {
    if (clock.getAsLong() > objectiveAtNanos) {
      late.increment();
    }
  }

  @Override
  public void attemptEnded(
      long serverId, boolean answered, CacheLookup lookup, long tookNanos, boolean late) {
    CacheServerCounters server = servers.computeIfAbsent(serverId, id -> new CacheServerCounters());
    (answered ? server.answered : server.unanswered).increment();
    if (answered && lookup == CacheLookup.HIT) {
      hits.increment();
      server.hits.increment();
      server.hitMicros.add(tookNanos / NANOS_PER_MICRO);
    } else if (answered && lookup == CacheLookup.MISS) {
      misses.increment();
    }
  }

  /**
   * The health metrics as they are now. Of cache servers those that are named here, by their ids;
   * whoever else was counted is forgotten.
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
