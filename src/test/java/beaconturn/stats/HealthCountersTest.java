package beaconturn.stats;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

/** Tests the health metrics, whose names rollout agents rely on. */
class HealthCountersTest {
  private final AtomicLong nowNanos = new AtomicLong(100);
  private final HealthCounters counters = new HealthCounters(nowNanos::get);

  private List<String> health(Map<Long, String> serverNames) {
    return counters.health(new TreeMap<>(serverNames)).stream()
        .map(metric -> metric.name() + ":" + metric.value())
        .toList();
  }

  @Test
  void exportsAttemptsByServerUnderDocumentedNames() {
    counters.requestSucceeded(100);
    counters.requestSucceeded(99);
    counters.attemptEnded(7, true, CacheLookup.HIT, 5_000, false);
    counters.attemptEnded(7, true, CacheLookup.MISS, 9_000, true);
    counters.attemptEnded(7, false, CacheLookup.UNKNOWN, 9_000, true);
    assertEquals(
        List.of(
            "late:1",
            "hits:1",
            "misses:1",
            "cache_good.s-1:2",
            "cache_bad.s-1:1",
            "cache_hits.s-1:1",
            "cache_hit_micros.s-1:5"),
        health(Map.of(7L, "s-1", 8L, "s-2")));
  }

  /** Guards against a leak in a fleet whose servers are replaced over time. */
  @Test
  void removesCountsOfServersNoLongerNamed() {
    counters.attemptEnded(7, true, CacheLookup.HIT, 5_000, false);
    health(Map.of(8L, "s-2"));
    assertEquals(List.of("late:0", "hits:1", "misses:0"), health(Map.of(7L, "s-1")));
  }
}
