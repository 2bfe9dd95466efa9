package beaconturn.release;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * A changed part beside the others, over the same time. A difference of shares counts if chance
 * would hardly make it; one of means if there are enough readings, as each of them is a mean
 * already.
 */
final class Comparison {
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
  private final Plan plan;
  private final Sample changed;
  private final Sample others;
  private final int count;

  /** One measure in which the part does worse than it may. */
  private record Worse(String words, boolean certain) {}

  /** Beside so many others together. */
  Comparison(Plan plan, Sample changed, Sample others, int count) {
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
  Health.Word word(boolean soaked, boolean waits) {
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
    if (changed.answers() < plan.samples() || count > 0 && others.answers() < plan.samples()) {
      return new Health.Word(Health.Verdict.WAIT, figures);
    }
    List<Worse> worse = new ArrayList<>();
    double errors = waits ? WATCHED : ERRORS;
    share(worse, "", Figure.BAD, changed.answers(), others.answers(), plan.worse().bad(), errors);
    if (soaked && count > 0) {
      if (waits && (fewReadings(changed) || fewReadings(others))) {
        return new Health.Word(Health.Verdict.WAIT, figures);
      }
      share(
          worse,
          "late",
          Figure.LATE,
          changed.of(Figure.GOOD),
          others.of(Figure.GOOD),
          plan.worse().late(),
          errors);
      share(
          worse,
          "missed",
          Figure.MISSES,
          changed.of(Figure.HITS) + changed.of(Figure.MISSES),
          others.of(Figure.HITS) + others.of(Figure.MISSES),
          plan.worse().missed(),
          errors);
      mean(
          worse,
          "of the cache servers avoided",
          Figure.AVOIDED,
          Figure.READINGS,
          MILLION,
          plan.worse().avoided(),
          0);
      mean(worse, "kB of memory", Figure.MEMORY, Figure.READINGS, 1, 0, plan.worse().memory());
      if (Math.min(changed.of(Figure.HITS), others.of(Figure.HITS))
          >= Math.max(1, plan.samples())) {
        mean(worse, "us for a hit", Figure.HIT_MICROS, Figure.HITS, 1, 0, plan.worse().slower());
      }
    }
    Worse first =
        worse.stream()
            .filter(Worse::certain)
            .findFirst()
            .orElse(worse.isEmpty() ? null : worse.get(0));
    return first == null
        ? new Health.Word(Health.Verdict.GOOD, figures)
        : new Health.Word(
            first.certain() ? Health.Verdict.BAD : Health.Verdict.WAIT, figures + first.words());
  }

  /** An agent that knows more than answers has not asked often enough to tell of a mean. */
  private static boolean fewReadings(Sample sample) {
    long readings = sample.of(Figure.READINGS);
    return readings > 0 && readings < FEWEST_READINGS;
  }

  private void share(
      List<Worse> worse,
      String name,
      Figure figure,
      long ofChanged,
      long ofOthers,
      double bound,
      double errors) {
    double here = changed.share(figure, ofChanged);
    double there = others.share(figure, ofOthers);
    if (here <= there + bound
        || ofChanged < plan.samples()
        || count > 0 && ofOthers < plan.samples()) {
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
      Figure sum,
      Figure over,
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
