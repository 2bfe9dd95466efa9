package beaconturn.release;

import java.util.ArrayList;
import java.util.List;

/** The waves of a plan that names none: one instance, a tenth of the rest, one zone, all others. */
public final class DefaultWaves {
  private static final int TENTH = 10;
  private final List<String> remaining;
  private final List<List<String>> waves = new ArrayList<>();

  private DefaultWaves(ReleaseFleet.Group group) {
    remaining = new ArrayList<>(group.instanceIds());
  }

  /** The waves over all instances of a group. */
  public static List<List<String>> of(ReleaseFleet.Group group) {
    DefaultWaves result = new DefaultWaves(group);
    result.addFirst(1);
    result.addFirst((result.remaining.size() + TENTH - 1) / TENTH);
    if (!result.remaining.isEmpty()) {
      result.addZone(group, group.zoneOf(result.remaining.get(0)));
    }
    result.add(result.remaining);
    return result.waves;
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
