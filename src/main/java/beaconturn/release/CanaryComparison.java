package beaconturn.release;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * A changed part beside the others, over the same time. A difference of shares counts if chance
 * would hardly make it; one of means if there are enough readings, as each of them is a mean
 * already.
 */
final class CanaryComparison {
  /** One in a hundred by chance, of what is looked at until it has stood its check. */
  private static final double ERRORS = 2.33;

  /**
   * One in a million, of what is watched from then on: many parts, again and again, of which one in
   * a hundred would take every larger release back. What is not certain goes on adding up until it
   * is.
   */
  private static final double WATCHED = 4.75;

  private static final long FEWEST_READINGS = 8;
  private static final double MILLION = 1e6;
  private final RolloutPlan plan;
  private final InstanceSample changed;
  private final InstanceSample others;
  private final int count;

  /** One measure in which the part does worse than it may. */
  private record Worse(String words, boolean certain) {}

  /** Beside so many others together. */
  CanaryComparison(RolloutPlan plan, InstanceSample changed, InstanceSample others, int count) {
    this.plan = plan;
    this.changed = changed;
    this.others = others;
    this.count = count;
  }

  /**
   * What it comes to; what is not an answer that failed counts once the part has {@code soaked}.
   * Means need readings: a soak that is too short for them does not see them, unless it {@code
   * waits} for them.
   */
  RolloutHealth.Word word(boolean soaked, boolean waits) {
    String figures =
        String.format(
            Locale.ROOT,
            "%.3f of %d answers bad, %.3f of %d at %d others",
            changed.badShare(),
            changed.answers(),
            others.badShare(),
            others.answers(),
            count);
    // Silent others are no comparison; a part that has none is held to what the plan allows.
    if (changed.answers() < plan.samples() || (count > 0 && others.answers() < plan.samples())) {
      return new RolloutHealth.Word(RolloutHealth.Verdict.WAIT, figures);
    }
    List<Worse> worse = new ArrayList<>();
    double errors = waits ? WATCHED : ERRORS;
    share(
        worse,
        "",
        InstanceMetrics.BAD,
        changed.answers(),
        others.answers(),
        plan.worse().bad(),
        errors);
    if (soaked && count > 0) {
      if (waits && (fewReadings(changed) || fewReadings(others))) {
        return new RolloutHealth.Word(RolloutHealth.Verdict.WAIT, figures);
      }
      share(
          worse,
          "late",
          InstanceMetrics.LATE,
          changed.of(InstanceMetrics.GOOD),
          others.of(InstanceMetrics.GOOD),
          plan.worse().late(),
          errors);
      share(
          worse,
          "missed",
          InstanceMetrics.MISSES,
          changed.of(InstanceMetrics.HITS) + changed.of(InstanceMetrics.MISSES),
          others.of(InstanceMetrics.HITS) + others.of(InstanceMetrics.MISSES),
          plan.worse().missed(),
          errors);
      mean(
          worse,
          "of the cache servers avoided",
          InstanceMetrics.AVOIDED,
          InstanceMetrics.READINGS,
          MILLION,
          plan.worse().avoided(),
          0);
      mean(
          worse,
          "kB of memory",
          InstanceMetrics.MEMORY,
          InstanceMetrics.READINGS,
          1,
          0,
          plan.worse().memory());
      if (Math.min(changed.of(InstanceMetrics.HITS), others.of(InstanceMetrics.HITS))
          >= Math.max(1, plan.samples())) {
        mean(
            worse,
            "us for a hit",
            InstanceMetrics.HIT_MICROS,
            InstanceMetrics.HITS,
            1,
            0,
            plan.worse().slower());
      }
    }
    Worse first =
        worse.stream()
            .filter(Worse::certain)
            .findFirst()
            .orElse(worse.isEmpty() ? null : worse.get(0));
    return first == null
        ? new RolloutHealth.Word(RolloutHealth.Verdict.GOOD, figures)
        : new RolloutHealth.Word(
            first.certain() ? RolloutHealth.Verdict.BAD : RolloutHealth.Verdict.WAIT,
            figures + first.words());
  }

  /** An agent that knows more than answers has not asked often enough to tell of a mean. */
  private static boolean fewReadings(InstanceSample sample) {
    long readings = sample.of(InstanceMetrics.READINGS);
    return readings > 0 && readings < FEWEST_READINGS;
  }

  private void share(
      List<Worse> worse,
      String name,
      InstanceMetrics figure,
      long ofChanged,
      long ofOthers,
      double bound,
      double errors) {
    double here = changed.share(figure, ofChanged);
    double there = others.share(figure, ofOthers);
    if (here <= there + bound
        || ofChanged < plan.samples()
        || (count > 0 && ofOthers < plan.samples())) {
      return;
    }
    double both = (changed.of(figure) + others.of(figure)) / (double) (ofChanged + ofOthers);
    double error =
        Math.sqrt(both * (1 - both) * (1.0 / ofChanged + (ofOthers == 0 ? 0 : 1.0 / ofOthers)));
    worse.add(
        new Worse(
            name.isEmpty()
                ? ""
                : String.format(
                    Locale.ROOT,
                    "; %.3f of %d %s, %.3f of %d",
                    here,
                    ofChanged,
                    name,
                    there,
                    ofOthers),
            here - there > errors * error));
  }

  /** A mean that may be higher by a distance, or by a part. */
  private void mean(
      List<Worse> worse,
      String name,
      InstanceMetrics sum,
      InstanceMetrics over,
      double unit,
      double distance,
      double part) {
    if (changed.of(over) == 0
        || others.of(over) == 0
        || fewReadings(changed)
        || fewReadings(others)) {
      return;
    }
    double here = changed.share(sum, changed.of(over)) / unit;
    double there = others.share(sum, others.of(over)) / unit;
    if (there + distance > 0 && here > there * (1 + part) + distance) {
      worse.add(
          new Worse(
              String.format(
                  Locale.ROOT,
                  unit == 1 ? "; %.0f %s, %.0f" : "; %.3f %s, %.3f",
                  here,
                  name,
                  there),
              true));
    }
  }
}
