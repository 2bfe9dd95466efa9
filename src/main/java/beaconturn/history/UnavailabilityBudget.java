package beaconturn.history;

import java.util.List;
import java.util.Objects;

/**
 * No planned step takes a part out while as many are out as may be, however they went: by a step,
 * by a drain, by a fault, because they stand still or are not warm yet. Judged from processes that
 * ended, stood still and answered again, and from what discovery lists and versions in force hold
 * out, not from what a release says.
 */
final class UnavailabilityBudget extends Invariant {
  UnavailabilityBudget() {
    super("never-too-many-out", "no step takes a part out while as many are out as may be");
  }

  @Override
  void judge(HistoryIndex evidence) {
    InvariantBounds.Release terms = evidence.terms().release();
    if (terms == null) {
      return;
    }
    List<UnavailabilityIndex.Gone> all = UnavailabilityIndex.of(evidence);
    List<HistoryEvent.Changed> steps = evidence.all(HistoryEvent.Changed.class);
    for (int i = 0; i < steps.size(); i++) {
      if (!underTheSamePlace(evidence, steps, i)) {
        judge(evidence, all, steps.get(i).at(), steps.get(i).part());
      }
    }
    for (HistoryEvent.Placed placed : evidence.all(HistoryEvent.Placed.class)) {
      if (terms.caches() && placed.taken()) {
        judge(evidence, all, placed.at(), placed.server());
      }
    }
  }

  /**
   * One that goes back before it has stood its check never gave its place back: nobody more goes
   * out.
   */
  private static boolean underTheSamePlace(
      HistoryIndex evidence, List<HistoryEvent.Changed> steps, int at) {
    HistoryEvent.Changed step = steps.get(at);
    long before =
        steps.subList(0, at).stream()
            .filter(s -> s.part().equals(step.part()))
            .mapToLong(HistoryEvent.Changed::at)
            .max()
            .orElse(Long.MAX_VALUE);
    return before != Long.MAX_VALUE
        && evidence.all(HistoryEvent.Permitted.class).stream()
            .noneMatch(p -> p.part().equals(step.part()) && p.at() > before && p.at() <= step.at());
  }

  /**
   * What may be out by what was in force lately: who had decided before the news may act a little
   * later.
   */
  private static HistoryEvent.Budget budget(HistoryIndex evidence, long at) {
    InvariantBounds.Release terms = evidence.terms().release();
    HistoryEvent.Budget now =
        new HistoryEvent.Budget(Long.MIN_VALUE, terms.mostOut(), terms.mostOutOfSite());
    HistoryEvent.Budget most = now;
    for (HistoryEvent.Budget said : evidence.all(HistoryEvent.Budget.class)) {
      if (said.at() <= at) {
        most =
            said.at() + terms.halt() < at
                ? said
                : new HistoryEvent.Budget(
                    said.at(),
                    Math.max(now.mostOut(), said.mostOut()),
                    Math.max(now.mostOutOfSite(), said.mostOutOfSite()));
        now = said;
      }
    }
    return most;
  }

  private void judge(
      HistoryIndex evidence, List<UnavailabilityIndex.Gone> all, long at, String part) {
    InvariantBounds.Release terms = evidence.terms().release();
    HistoryEvent.Budget budget = budget(evidence, at);
    List<String> out =
        all.stream()
            .filter(
                g ->
                    !g.part().equals(part)
                        && g.from() + (g.planned() ? 0 : terms.seenWithin()) < at
                        && at < g.to())
            .map(UnavailabilityIndex.Gone::part)
            .distinct()
            .toList();
    String site = terms.sites().get(part);
    List<String> near =
        out.stream().filter(p -> Objects.equals(terms.sites().get(p), site)).toList();
    check(
        out.size() < budget.mostOut() && near.size() < budget.mostOutOfSite(),
        at,
        "",
        "",
        part + " was taken out while " + out + " were out, " + near + " of its site " + site);
  }
}
