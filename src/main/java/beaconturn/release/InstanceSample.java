package beaconturn.release;

import java.util.Collections;
import java.util.EnumMap;
import java.util.Map;

/**
 * What a part has answered since its process began, and how it does.
 *
 * @param process which process it is; another one counts anew
 * @param figures what is known; what is not there is 0
 */
public record InstanceSample(String process, Map<InstanceMetrics, Long> figures) {
  static final InstanceSample NONE = new InstanceSample("", Map.of());

  /** A sample of its own. */
  public InstanceSample {
    Map<InstanceMetrics, Long> all = new EnumMap<>(InstanceMetrics.class);
    figures.forEach(
        (figure, value) -> {
          if (value != 0) {
            all.put(figure, value);
          }
        });
    figures = Collections.unmodifiableMap(all);
  }

  /** One of which only the answers are known. */
  public static InstanceSample of(String process, long good, long bad) {
    return new InstanceSample(
        process, Map.of(InstanceMetrics.GOOD, good, InstanceMetrics.BAD, bad));
  }

  long of(InstanceMetrics figure) {
    return figures.getOrDefault(figure, 0L);
  }

  /** What came since an earlier sample; all of it where the process is another. */
  InstanceSample since(InstanceSample earlier) {
    return process.equals(earlier.process) ? with(process, earlier, -1) : this;
  }

  /** What both count together; of levels that makes no sense, and they are left out. */
  InstanceSample plus(InstanceSample other) {
    return with("", other, 1);
  }

  private InstanceSample with(String as, InstanceSample other, int sign) {
    Map<InstanceMetrics, Long> all = new EnumMap<>(InstanceMetrics.class);
    for (InstanceMetrics f : InstanceMetrics.values()) {
      if (!f.level()) {
        all.put(f, of(f) + sign * other.of(f));
      } else if (sign < 0) {
        all.put(f, of(f));
      }
    }
    return new InstanceSample(as, all);
  }

  long answers() {
    return of(InstanceMetrics.GOOD) + of(InstanceMetrics.BAD);
  }

  double badShare() {
    return share(InstanceMetrics.BAD, answers());
  }

  /** Its part of so many; 0 of none. */
  double share(InstanceMetrics figure, long whole) {
    return whole == 0 ? 0 : of(figure) / (double) whole;
  }
}
