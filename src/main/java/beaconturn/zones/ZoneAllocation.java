package beaconturn.zones;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Where the keys of one place go: in thousandths of all of them, by the hash of the key, in this
 * order. What is missing to a thousand is refused at once. The same keys always go first, so that
 * far cache servers warm for few.
 *
 * @param parts of each place, the place itself first
 */
public record ZoneAllocation(Map<String, Integer> parts) {
  /** All keys. */
  public static final int WHOLE = 1000;

  /**
   * So small a part is a trial: it tells how a place does, and nothing that must not be repeated
   * goes by it.
   */
  public static final int TRIAL = 10;

  /**
   * Where nearly all of a place's keys are served elsewhere so many are tried there, to see when it
   * is back.
   */
  public static final int NEAR_TRIAL = 50;

  /** A row of its own. */
  public ZoneAllocation {
    parts = Collections.unmodifiableMap(new LinkedHashMap<>(parts));
  }

  /** All of it at home. */
  static ZoneAllocation near(String home) {
    return new ZoneAllocation(Map.of(home, WHOLE));
  }

  int of(String place) {
    return parts.getOrDefault(place, 0);
  }

  int sum() {
    return parts.values().stream().mapToInt(Integer::intValue).sum();
  }

  /** The places that it names. */
  List<String> places() {
    return new ArrayList<>(parts.keySet());
  }

  /** How much of the keys goes elsewhere than by another row. */
  int movedFrom(ZoneAllocation other) {
    int moved = 0;
    for (Map.Entry<String, Integer> e : parts.entrySet()) {
      moved += Math.max(0, e.getValue() - other.of(e.getKey()));
    }
    return Math.max(moved, other.sum() - sum());
  }
}
