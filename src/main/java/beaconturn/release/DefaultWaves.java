package beaconturn.release;

import java.util.ArrayList;
import java.util.List;

/**
 * Builds the waves of a plan that specifies none: one instance, a tenth of the rest, the remainder
 * of one zone, and all others.
 */
public final class DefaultWaves {
  private static final int SECOND_WAVE_DIVISOR = 10;
  private final List<String> remaining;
  private final List<List<String>> waves = new ArrayList<>();

  private DefaultWaves(ReleaseFleet.Group group) {
    remaining = new ArrayList<>(group.instanceIds());
  }

  /** Returns the waves over all instances of a group. */
  public static List<List<String>> of(ReleaseFleet.Group group) {
    DefaultWaves builder = new DefaultWaves(group);
    builder.addFirst(1);
    builder.addFirst((builder.remaining.size() + SECOND_WAVE_DIVISOR - 1) / SECOND_WAVE_DIVISOR);
    if (!builder.remaining.isEmpty()) {
      builder.addZone(group, group.zoneOf(builder.remaining.get(0)));
    }
    builder.add(builder.remaining);
    return builder.waves;
  }

  private void addFirst(int count) {
    add(remaining.subList(0, Math.min(count, remaining.size())));
  }

  private void addZone(ReleaseFleet.Group group, String zone) {
    add(remaining.stream().filter(id -> zone.equals(group.zoneOf(id))).toList());
  }

  private void add(List<String> instanceIds) {
    if (!instanceIds.isEmpty()) {
      List<String> wave = List.copyOf(instanceIds);
      waves.add(wave);
      remaining.removeAll(wave);
    }
  }
}
