package beaconturn.release;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * How long a release is expected to take, before it is started.
 *
 * @param waves one after the other
 * @param shortestSeconds time of watching alone
 * @param longestSeconds time if each instance takes as long to get ready as it may
 * @param restartSeconds median duration of restarts in the last release; 0 where there was none
 * @param checkSeconds how long an instance is watched until it has its answers; 0 where no load is
 *     known
 */
public record RolloutForecast(
    List<Wave> waves,
    double shortestSeconds,
    double longestSeconds,
    double restartSeconds,
    double checkSeconds) {
  private static final double NANOS_PER_SECOND = 1e9;

  /**
   * One wave.
   *
   * @param instanceIds its instances
   * @param maxConcurrent instances of it that can be out at once
   * @param rounds rounds that it takes with as many at once
   * @param spareBudget instances that may go out beside them, as things are
   */
  public record Wave(List<String> instanceIds, int maxConcurrent, int rounds, int spareBudget) {
    private static Wave of(List<String> instanceIds, ReleaseFleet.Group group, int unavailable) {
      int maxConcurrent = 0;
      int rounds = roundsFor(instanceIds.size(), group.maxUnavailable());
      for (List<String> zone : group.instancesByZone().values()) {
        int inZone = (int) instanceIds.stream().filter(zone::contains).count();
        maxConcurrent += Math.min(inZone, group.maxUnavailablePerZone());
        rounds = Math.max(rounds, roundsFor(inZone, group.maxUnavailablePerZone()));
      }
      maxConcurrent = Math.min(maxConcurrent, group.maxUnavailable());
      int spareBudget = Math.max(0, group.maxUnavailable() - unavailable - maxConcurrent);
      return new Wave(instanceIds, maxConcurrent, rounds, spareBudget);
    }

    private static int roundsFor(int instances, int maxConcurrent) {
      return (instances + maxConcurrent - 1) / maxConcurrent;
    }
  }

  /**
   * The forecast of a plan, as things are.
   *
   * @param unplanned instances that are out without a permit, with reasons
   */
  public static RolloutForecast of(
      RolloutPlan plan, RolloutSnapshot snapshot, Map<String, String> unplanned) {
    ReleaseFleet.Group group = snapshot.fleet().group(plan.kind());
    int unavailable = snapshot.unavailable(plan.kind(), unplanned).size();
    List<Wave> waves = new ArrayList<>();
    plan.waves().forEach(wave -> waves.add(Wave.of(wave, group, unavailable)));
    int rounds = rounds(waves);
    double soakSeconds = plan.soakNanos() / NANOS_PER_SECOND;
    return new RolloutForecast(
        waves,
        rounds * soakSeconds,
        rounds * (soakSeconds + plan.readyTimeoutNanos() / NANOS_PER_SECOND),
        medianRestartSeconds(plan, snapshot),
        checkSeconds(plan, snapshot, soakSeconds));
  }

  private static int rounds(List<Wave> waves) {
    return waves.stream().mapToInt(Wave::rounds).sum();
  }

  private static double medianRestartSeconds(RolloutPlan plan, RolloutSnapshot snapshot) {
    if (snapshot.plan() == null || snapshot.plan().kind() != plan.kind()) {
      return 0;
    }
    List<Long> durationsNanos =
        snapshot.steps().values().stream()
            .map(RolloutStep::readyAfterNanos)
            .filter(nanos -> nanos > 0)
            .sorted()
            .toList();
    if (durationsNanos.isEmpty()) {
      return 0;
    }
    return durationsNanos.get(durationsNanos.size() / 2) / NANOS_PER_SECOND;
  }

  private static double checkSeconds(
      RolloutPlan plan, RolloutSnapshot snapshot, double soakSeconds) {
    double responsesPerSecond =
        snapshot.fleet().group(plan.kind()).instanceIds().stream()
            .mapToLong(id -> snapshot.sample(id).valueOf(InstanceMetric.RESPONSES_PER_SECOND))
            .filter(rate -> rate > 0)
            .average()
            .orElse(0);
    if (responsesPerSecond == 0) {
      return 0;
    }
    return Math.max(soakSeconds, plan.minResponses() / responsesPerSecond);
  }

  /** How long the release is likely to take; 0 where too little is known. */
  public double likelySeconds() {
    if (restartSeconds == 0 || checkSeconds == 0) {
      return 0;
    }
    return rounds(waves) * (restartSeconds + checkSeconds);
  }
}
