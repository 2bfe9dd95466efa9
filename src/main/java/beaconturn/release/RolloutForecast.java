package beaconturn.release;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Estimates how long a release would take.
 *
 * @param waves waves in order
 * @param shortestSeconds duration of the soaks alone
 * @param longestSeconds duration if each instance becomes ready just within the ready timeout
 * @param restartSeconds median duration of restarts in the last release; 0 if unknown
 * @param checkSeconds duration of the canary check until an instance has the minimum number of
 *     responses; 0 if no load is reported
 */
public record RolloutForecast(
    List<Wave> waves,
    double shortestSeconds,
    double longestSeconds,
    double restartSeconds,
    double checkSeconds) {
  private static final double NANOS_PER_SECOND = 1e9;

  /**
   * Estimate of one wave.
   *
   * @param instanceIds instances of the wave
   * @param maxConcurrent maximum number of instances of the wave that are out of service at once
   * @param rounds number of rounds that the wave takes
   * @param spareBudget disruption budget that is left during a round
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
   * Returns the forecast of a plan in the current state.
   *
   * @param unplanned reasons by instance that is out of service without a permit
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
            .filter(value -> value > 0)
            .average()
            .orElse(0);
    if (responsesPerSecond == 0) {
      return 0;
    }
    return Math.max(soakSeconds, plan.minResponses() / responsesPerSecond);
  }

  /** Returns the likely duration of the release; 0 if restarts or load are unknown. */
  public double likelySeconds() {
    if (restartSeconds == 0 || checkSeconds == 0) {
      return 0;
    }
    return rounds(waves) * (restartSeconds + checkSeconds);
  }
}
