package beaconturn.cli;

import beaconturn.agreement.AgreementException;
import beaconturn.release.RegressionBounds;
import beaconturn.release.RolloutAdmin;
import beaconturn.release.RolloutForecast;
import beaconturn.release.RolloutPlan;
import beaconturn.release.RolloutSnapshot;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Prints the waves, the expected duration and the regression bounds of a plan before its start. */
record ReleasePlanPrinter(RolloutPlan plan) {
  private static final double NANOS_PER_SECOND = 1e9;
  private static final double PERCENT = 100;

  /**
   * Prints the plan.
   *
   * @param snapshot the current state of the rollout
   * @param unplanned reasons of unavailable instances without a permit, by instance
   * @throws AgreementException if the plan cannot be started now, with the reason
   */
  void print(RolloutSnapshot snapshot, Map<String, String> unplanned) throws AgreementException {
    String objection = RolloutAdmin.blockingReason(plan, snapshot);
    if (objection != null) {
      throw new AgreementException(objection);
    }
    RolloutForecast forecast = RolloutForecast.of(plan, snapshot, unplanned);
    printWaves(forecast.waves());
    printDuration(forecast);
    printRegressionBounds();
  }

  private double soakSeconds() {
    return plan.soakNanos() / NANOS_PER_SECOND;
  }

  private void printWaves(List<RolloutForecast.Wave> waves) {
    int number = 0;
    for (RolloutForecast.Wave wave : waves) {
      number++;
      System.out.printf(
          Locale.ROOT,
          "wave %d: %s; %d at a time at most, %d rounds, %.0f s of watching,"
              + " %d places left meanwhile%n",
          number,
          String.join(" ", wave.instanceIds()),
          wave.maxConcurrent(),
          wave.rounds(),
          wave.rounds() * soakSeconds(),
          wave.spareBudget());
    }
  }

  private void printDuration(RolloutForecast forecast) {
    System.out.printf(
        Locale.ROOT,
        "%.0f s and the time of %d restarts at the shortest, %.0f s with each"
            + " restart at its limit%n",
        forecast.shortestSeconds(),
        plan.instanceIds().size(),
        forecast.longestSeconds());
    if (forecast.likelySeconds() > 0) {
      System.out.printf(
          Locale.ROOT,
          "likely %.0f s: a restart took"
              + " %.1f s the last time, and a part has its answers after %.1f s%n",
          forecast.likelySeconds(),
          forecast.restartSeconds(),
          forecast.checkSeconds());
    } else {
      System.out.println("what is likely is not known: no restart or no load was seen of late");
    }
  }

  private void printRegressionBounds() {
    RegressionBounds bounds = plan.regressionBounds();
    System.out.printf(
        Locale.ROOT,
        "goes back by itself: a part that is not ready within %.0f s; one that over %d answers has"
            + " %.1f %% more refusals and failures than the others, or after %.0f s %.1f %%"
            + " more late"
            + " answers,%n  %.1f %% more misses, avoids %.1f %% more of the cache servers,"
            + " holds %.0f %%"
            + " more memory, or as a cache server takes %.0f %% longer for hits%n",
        plan.readyTimeoutNanos() / NANOS_PER_SECOND,
        plan.minResponses(),
        bounds.failedShare() * PERCENT,
        soakSeconds(),
        bounds.lateShare() * PERCENT,
        bounds.missedShare() * PERCENT,
        bounds.avoidedServersShare() * PERCENT,
        bounds.memoryRatio() * PERCENT,
        bounds.hitTimeRatio() * PERCENT);
  }
}
