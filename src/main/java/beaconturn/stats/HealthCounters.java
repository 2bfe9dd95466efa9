package beaconturn.stats;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.LongSupplier;

/** The counts that say how a process and the cache servers it uses do, beside those of its work. */
public final class HealthCounters extends Counters {
  private static final long MICRO = 1000;
  private final LongSupplier clock;
  private final LongAdder late = new LongAdder();
  private final LongAdder hits = new LongAdder();
  private final LongAdder misses = new LongAdder();
  private final Map<Long, OfServer> servers = new ConcurrentHashMap<>();

  /** What one cache server made of the attempts that it got. */
  private static final class OfServer {
    private final LongAdder good = new LongAdder();
    private final LongAdder bad = new LongAdder();
    private final LongAdder hits = new LongAdder();
    private final LongAdder hitMicros = new LongAdder();
  }

  /** Counts by the router's clock, in nanoseconds. */
  public HealthCounters(LongSupplier clock) {
    this.clock = clock;
  }

  @Override
  public void served(long aim) {
    if (clock.getAsLong() > aim) {
      late.increment();
    }
  }

  @Override
  public void attempt(long server, boolean good, Found found, long took, boolean late) {
    OfServer of = servers.computeIfAbsent(server, id -> new OfServer());
    (good ? of.good : of.bad).increment();
    if (good && found == Found.HIT) {
      hits.increment();
      of.hits.increment();
      of.hitMicros.add(took / MICRO);
    } else if (good && found == Found.MISS) {
      misses.increment();
    }
  }

  /**
   * What is counted of health; of cache servers those that are named, whoever else was is
   * forgotten.
   */
  public List<Figure> health(Map<Long, String> names) {
    servers.keySet().retainAll(names.keySet());
    List<Figure> all =
        new ArrayList<>(
            List.of(
                new Figure("late", late.sum(), false),
                new Figure("hits", hits.sum(), false),
                new Figure("misses", misses.sum(), false)));
    names.forEach(
        (id, name) -> {
          OfServer of = servers.get(id);
          if (of != null) {
            all.add(new Figure("cache_good." + name, of.good.sum(), false));
            all.add(new Figure("cache_bad." + name, of.bad.sum(), false));
            all.add(new Figure("cache_hits." + name, of.hits.sum(), false));
            all.add(new Figure("cache_hit_micros." + name, of.hitMicros.sum(), false));
          }
        });
    return all;
  }
}
