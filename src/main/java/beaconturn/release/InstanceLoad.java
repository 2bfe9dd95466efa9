package beaconturn.release;

import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * What the parts of a site have to carry, measured: answers over one to two times the soak,
 * processor and connections as agents told them last. Whoever takes one out must leave enough for
 * that, and for failures.
 */
final class InstanceLoad {
  private static final double SECOND = 1e9;
  private static final double THOUSAND = 1000;
  private static final long SHORTEST = 1_000_000_000;

  /** Above this part of a processor answers wait for each other, and a burst has no room. */
  private static final double BUSY_AT_MOST = 0.8;

  private Window older;
  private Window newer;

  /** What all had answered at a time. */
  private record Window(long at, Map<String, InstanceSample> then) {}

  /** Those of a site that are left, and what the site carries. */
  private record Site(
      String name,
      List<String> parts,
      long left,
      ReleaseFleet.Capacity capacity,
      Map<String, InstanceSample> health) {
    /** Why those that are left are too few, or null. */
    String tooMuch(double carried, String unit, double each) {
      return left > 0 && carried <= left * each
          ? null
          : String.format(
              Locale.ROOT,
              "%s carries %.1f %s, and %d routers would be left with %d that fail, for %.1f each",
              name,
              carried,
              unit,
              Math.max(0, left),
              capacity.spare(),
              each);
    }

    private double sum(InstanceMetrics figure) {
      return parts.stream()
          .mapToLong(p -> health.getOrDefault(p, InstanceSample.NONE).of(figure))
          .sum();
    }

    /** Over those that tell it; 0 where none does. */
    private double mean(InstanceMetrics figure) {
      return parts.stream()
          .mapToLong(p -> health.getOrDefault(p, InstanceSample.NONE).of(figure))
          .filter(v -> v > 0)
          .average()
          .orElse(0);
    }

    /** By what their agents told last; nothing is said of what none of them tells. */
    String levels() {
      double cores =
          capacity.cores() > 0 ? capacity.cores() : mean(InstanceMetrics.CORES) / THOUSAND;
      String busy =
          cores <= 0 || mean(InstanceMetrics.CORES) <= 0
              ? null
              : tooMuch(sum(InstanceMetrics.BUSY) / THOUSAND, "cores", cores * BUSY_AT_MOST);
      double most = mean(InstanceMetrics.MOST_CONNECTIONS);
      return busy != null || most <= 0
          ? busy
          : tooMuch(sum(InstanceMetrics.CONNECTIONS), "connections", most);
    }
  }

  /** To be told of each scene. */
  void saw(RolloutSnapshot scene, long now) {
    if (newer == null || now - newer.at() >= Math.max(SHORTEST, scene.plan().soak())) {
      older = newer;
      newer = new Window(now, Map.copyOf(scene.health()));
    }
  }

  /**
   * Why the part's site would be left with too little, or null where that is not so or not asked
   * for.
   */
  String tooMuch(RolloutSnapshot scene, String id, Set<String> out, long now) {
    ReleaseFleet.Group group = scene.fleet().group(scene.plan().kind());
    ReleaseFleet.Capacity capacity = group.capacity();
    if (capacity.spare() < 0 || scene.plan().kind() != InstanceKind.ROUTER) {
      return null;
    }
    if (older == null) {
      return "what its site carries is measured";
    }
    String name = group.siteOf(id);
    List<String> parts = group.sites().get(name);
    Site site =
        new Site(
            name,
            parts,
            parts.stream().filter(p -> !out.contains(p) && !p.equals(id)).count()
                - capacity.spare(),
            capacity,
            scene.health());
    if (capacity.eachPerSecond() > 0) {
      double answers = 0;
      for (String part : parts) {
        InstanceSample then = older.then().get(part);
        answers +=
            then == null
                ? 0
                : scene.health().getOrDefault(part, InstanceSample.NONE).since(then).answers();
      }
      String full =
          site.tooMuch(
              answers * SECOND / (now - older.at()), "answers a second", capacity.eachPerSecond());
      if (full != null) {
        return full;
      }
    }
    return site.levels();
  }

  /**
   * Why a plan could not keep it by what is carried now, or null; with as many out as it may take.
   */
  static String objection(RolloutPlan plan, RolloutSnapshot scene) {
    ReleaseFleet.Group group = scene.fleet().group(plan.kind());
    if (group.capacity().spare() < 0 || plan.kind() != InstanceKind.ROUTER) {
      return null;
    }
    Set<String> named = new HashSet<>(plan.parts());
    for (Map.Entry<String, List<String>> e : group.sites().entrySet()) {
      int out =
          Math.min(
              Math.min(group.mostOut(), group.mostOutOfSite()),
              (int) e.getValue().stream().filter(named::contains).count());
      String full =
          out == 0
              ? null
              : new Site(
                      e.getKey(),
                      e.getValue(),
                      e.getValue().size() - out - group.capacity().spare(),
                      group.capacity(),
                      scene.health())
                  .levels();
      if (full != null) {
        return full;
      }
    }
    return null;
  }
}
