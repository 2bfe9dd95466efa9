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
public record Sample(String process, Map<Figure, Long> figures) {
  static final Sample NONE = new Sample("", Map.of());

  /** A sample of its own. */
  public Sample {
    Map<Figure, Long> all = new EnumMap<>(Figure.class);
    figures.forEach(
        (figure, value) -> {
          if (value != 0) {
            all.put(figure, value);
          }
        });
    figures = Collections.unmodifiableMap(all);
  }

  /** One of which only the answers are known. */
  public static Sample of(String process, long good, long bad) {
    return new Sample(process, Map.of(Figure.GOOD, good, Figure.BAD, bad));
  }

  long of(Figure figure) {
    return figures.getOrDefault(figure, 0L);
  }

  /** What came since an earlier sample; all of it where the process is another. */
  Sample since(Sample earlier) {
    return process.equals(earlier.process) ? with(process, earlier, -1) : this;
  }

  /** What both count together; of levels that makes no sense, and they are left out. */
  Sample plus(Sample other) {
    return with("", other, 1);
  }

  private Sample with(String as, Sample other, int sign) {
    Map<Figure, Long> all = new EnumMap<>(Figure.class);
    for (Figure f : Figure.values()) {
      if (!f.level()) {
        all.put(f, of(f) + sign * other.of(f));
      } else if (sign < 0) {
        all.put(f, of(f));
      }
    }
    return new Sample(as, all);
  }

  long answers() {
    return of(Figure.GOOD) + of(Figure.BAD);
  }

  double badShare() {
    return share(Figure.BAD, answers());
  }

  /** Its part of so many; 0 of none. */
  double share(Figure figure, long whole) {
    return whole == 0 ? 0 : of(figure) / (double) whole;
  }
}
