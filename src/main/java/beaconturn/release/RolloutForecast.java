package beaconturn.release;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * What a release is likely to take, before it is begun.
 *
 * @param waves one after the other
 * @param shortest watching alone, in seconds
 * @param longest with each restart at its limit
 * @param restart what restarts of the last release took, their median in seconds; 0 where there was
 *     none
 * @param watched how long a part is watched until it has its answers, in seconds; 0 where no load
 *     is known
 */
public record RolloutForecast(
    List<Wave> waves, double shortest, double longest, double restart, double watched) {
  private static final double SECOND = 1e9;

  /**
   * One wave.
   *
   * @param parts of it
   * @param atOnce so many of it at a time at the most
   * @param rounds that it takes
   * @param left places that nobody takes meanwhile, as things are
   */
  public record Wave(List<String> parts, int atOnce, int rounds, int left) {}

  /** Of a plan, as things are; {@code gone} are those that are out though nobody planned it. */
  public static RolloutForecast of(
      RolloutPlan plan, RolloutSnapshot scene, Map<String, String> gone) {
    ReleaseFleet.Group group = scene.fleet().group(plan.kind());
    int out = scene.out(plan.kind(), gone).size();
    List<Wave> waves = new ArrayList<>();
    int rounds = 0;
    for (List<String> wave : plan.waves()) {
      int atOnce = 0;
      int most = (wave.size() + group.mostOut() - 1) / group.mostOut();
      for (List<String> site : group.sites().values()) {
        int here = (int) wave.stream().filter(site::contains).count();
        atOnce += Math.min(here, group.mostOutOfSite());
        most = Math.max(most, (here + group.mostOutOfSite() - 1) / group.mostOutOfSite());
      }
      atOnce = Math.min(atOnce, group.mostOut());
      waves.add(new Wave(wave, atOnce, most, Math.max(0, group.mostOut() - out - atOnce)));
      rounds += most;
    }
    double soak = plan.soak() / SECOND;
    List<Long> took =
        scene.plan() == null || scene.plan().kind() != plan.kind()
            ? List.of()
            : scene.steps().values().stream()
                .map(RolloutStep::took)
                .filter(t -> t > 0)
                .sorted()
                .toList();
    double rate =
        group.all().stream()
            .mapToLong(
                p -> scene.health().getOrDefault(p, InstanceSample.NONE).of(InstanceMetrics.RATE))
            .filter(r -> r > 0)
            .average()
            .orElse(0);
    return new RolloutForecast(
        waves,
        rounds * soak,
        rounds * (soak + plan.limit() / SECOND),
        took.isEmpty() ? 0 : took.get(took.size() / 2) / SECOND,
        rate == 0 ? 0 : Math.max(soak, plan.samples() / rate));
  }

  /** Seconds that it is likely to take; 0 where too little is known. */
  public double likely() {
    int rounds = waves.stream().mapToInt(Wave::rounds).sum();
    return restart == 0 || watched == 0 ? 0 : rounds * (restart + watched);
  }
}
