package beaconturn.release;

import beaconturn.agreement.ConfigContent;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What a release is to do.
 *
 * @param number of the release, counted from 1
 * @param kind of its parts
 * @param waves the parts, wave by wave; the next begins when all of one have stood the check
 * @param soak for how long a part is watched once it is up, in nanoseconds
 * @param samples so many answers of changed parts at least are compared
 * @param worse by how much changed parts may do worse than the others in the same time
 * @param limit how long a part may take to be ready, in nanoseconds
 * @param alone after so long out of the store's reach an agent brings back by itself what failed;
 *     0: never
 * @param reason why, for the history
 * @param settings that come into force before the first wave and go back last, or null
 * @param cluster the store that it was begun in, empty before; in another one nobody acts on it
 */
public record RolloutPlan(
    long number,
    InstanceKind kind,
    List<List<String>> waves,
    long soak,
    long samples,
    RegressionBounds worse,
    long limit,
    long alone,
    String reason,
    ConfigContent settings,
    String cluster) {
  /** A plan of its own. */
  public RolloutPlan {
    waves = waves.stream().map(List::copyOf).toList();
  }

  /** The same, begun as that number in that store. */
  RolloutPlan begun(long as, String in) {
    return new RolloutPlan(
        as, kind, waves, soak, samples, worse, limit, alone, reason, settings, in);
  }

  /** All parts, in their order. */
  public List<String> parts() {
    return waves.stream().flatMap(List::stream).toList();
  }

  /** What is wrong with it for a fleet, in words, or null. */
  public String objection(ReleaseFleet fleet) {
    ReleaseFleet.Group group = fleet.group(kind);
    Set<String> named = new HashSet<>();
    for (String id : parts()) {
      if (group.siteOf(id) == null) {
        return "there is no " + kind.word() + " '" + id + "' in the fleet";
      }
      if (!named.add(id)) {
        return "'" + id + "' stands in it twice";
      }
    }
    if (named.isEmpty()) {
      return "it names no part";
    }
    if (group.mostOut() < 1 || group.mostOutOfSite() < 1) {
      return "no " + kind.word() + " may be out at all";
    }
    for (Map.Entry<String, List<String>> site : group.sites().entrySet()) {
      int out = Math.min(group.mostOut(), group.mostOutOfSite());
      int spare = group.capacity().spare();
      if (spare >= 0
          && site.getValue().size() - out - spare < 1
          && site.getValue().stream().anyMatch(named::contains)) {
        return site.getKey()
            + " has "
            + site.getValue().size()
            + " "
            + kind.word()
            + "s: with "
            + out
            + " out and "
            + spare
            + " that fail none is left";
      }
    }
    return null;
  }

  /** One part, a tenth of the others, one site, the rest: the usual waves over a group. */
  public static List<List<String>> usual(ReleaseFleet.Group group) {
    List<String> left = new ArrayList<>(group.all());
    List<List<String>> waves = new ArrayList<>();
    take(waves, left, left.subList(0, Math.min(1, left.size())));
    take(waves, left, left.subList(0, (left.size() + TENTH - 1) / TENTH));
    if (!left.isEmpty()) {
      String site = group.siteOf(left.get(0));
      take(waves, left, left.stream().filter(id -> site.equals(group.siteOf(id))).toList());
    }
    take(waves, left, left);
    return waves;
  }

  private static final int TENTH = 10;

  private static void take(List<List<String>> waves, List<String> left, List<String> next) {
    if (!next.isEmpty()) {
      List<String> wave = List.copyOf(next);
      waves.add(wave);
      left.removeAll(wave);
    }
  }
}
