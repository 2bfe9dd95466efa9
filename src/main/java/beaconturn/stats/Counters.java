package beaconturn.stats;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.LongAdder;

/**
 * The counts of one process from its start on. What a class that is named no more had counted stays
 * counted.
 */
public class Counters implements RequestMetrics {
  /** One figure as it is now; a count only grows, a level does not. */
  public record Figure(String name, long value, boolean level) {}

  private static final class OfClass {
    private final LongAdder[] ends = {new LongAdder(), new LongAdder(), new LongAdder()};
  }

  private final Map<String, OfClass> classes = new ConcurrentSkipListMap<>();
  private final LongAdder open = new LongAdder();
  private final LongAdder sends = new LongAdder();
  private final LongAdder loaded = new LongAdder();
  private final LongAdder invalid = new LongAdder();
  private volatile int listed;
  private volatile int avoided;

  @Override
  public void names(String requestClass) {
    of(requestClass);
  }

  private OfClass of(String requestClass) {
    return classes.computeIfAbsent(requestClass, name -> new OfClass());
  }

  @Override
  public void taken() {
    open.increment();
  }

  @Override
  public void ended(String requestClass, End how) {
    open.decrement();
    if (how != End.ABANDONED) {
      of(requestClass).ends[how.ordinal()].increment();
    }
  }

  @Override
  public void sent() {
    sends.increment();
  }

  @Override
  public void fleet(int nowListed, int nowAvoided) {
    listed = nowListed;
    avoided = nowAvoided;
  }

  @Override
  public void reloaded(boolean taken) {
    (taken ? loaded : invalid).increment();
  }

  /**
   * All figures as they are now, in a fixed order; what is counted meanwhile may be in some and not
   * others.
   */
  public List<Figure> read() {
    List<Figure> all = new ArrayList<>();
    for (End how : new End[] {End.ANSWERED, End.DEFERRED, End.ERRORED}) {
      String name = how.name().toLowerCase(Locale.ROOT);
      classes.forEach(
          (type, counted) ->
              all.add(new Figure(name + "." + type, counted.ends[how.ordinal()].sum(), false)));
    }
    all.add(new Figure("sends", sends.sum(), false));
    all.add(new Figure("current", Math.max(0, open.sum()), true));
    all.add(new Figure("cluster_size", listed, true));
    all.add(new Figure("cluster_unhealthy", avoided, true));
    all.add(new Figure("conf_loaded", loaded.sum(), false));
    all.add(new Figure("conf_invalid", invalid.sum(), false));
    return all;
  }
}
