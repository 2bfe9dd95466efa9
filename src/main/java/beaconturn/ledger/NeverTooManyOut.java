package beaconturn.ledger;

import java.util.List;
import java.util.Objects;

/**
 * No planned step takes a part out while as many are out as may be, however they went: by a step,
 * by a drain, by a fault, because they stand still or are not warm yet. Judged from processes that
 * ended, stood still and answered again, and from what discovery lists and versions in force hold
 * out, not from what a release says.
 */
final class NeverTooManyOut extends Rule {
  NeverTooManyOut() {
    super("never-too-many-out", "no step takes a part out while as many are out as may be");
  }

  @Override
  void judge(Evidence evidence) {
    Terms.Release terms = evidence.terms().release();
    if (terms == null) {
      return;
    }
    List<Absences.Gone> all = Absences.of(evidence);
    List<Entry.Changed> steps = evidence.all(Entry.Changed.class);
    for (int i = 0; i < steps.size(); i++) {
      if (!underTheSamePlace(evidence, steps, i)) {
        judge(evidence, all, steps.get(i).at(), steps.get(i).part());
      }
    }
    for (Entry.Placed placed : evidence.all(Entry.Placed.class)) {
      if (terms.caches() && placed.taken()) {
        judge(evidence, all, placed.at(), placed.server());
      }
    }
  }

  /**
   * One that goes back before it has stood its check never gave its place back: nobody more goes
   * out.
   */
  private static boolean underTheSamePlace(Evidence evidence, List<Entry.Changed> steps, int at) {
    Entry.Changed step = steps.get(at);
    long before =
        steps.subList(0, at).stream()
            .filter(s -> s.part().equals(step.part()))
            .mapToLong(Entry.Changed::at)
            .max()
            .orElse(Long.MAX_VALUE);
    return before != Long.MAX_VALUE
        && evidence.all(Entry.Permitted.class).stream()
            .noneMatch(p -> p.part().equals(step.part()) && p.at() > before && p.at() <= step.at());
  }

  /**
   * What may be out by what was in force lately: who had decided before the news may act a little
   * later.
   */
  private static Entry.Budget budget(Evidence evidence, long at) {
    Terms.Release terms = evidence.terms().release();
    Entry.Budget now = new Entry.Budget(Long.MIN_VALUE, terms.mostOut(), terms.mostOutOfSite());
    Entry.Budget most = now;
    for (Entry.Budget said : evidence.all(Entry.Budget.class)) {
      if (said.at() <= at) {
        most =
            said.at() + terms.halt() < at
                ? said
                : new Entry.Budget(
                    said.at(),
                    Math.max(now.mostOut(), said.mostOut()),
                    Math.max(now.mostOutOfSite(), said.mostOutOfSite()));
        now = said;
      }
    }
    return most;
  }

  private void judge(Evidence evidence, List<Absences.Gone> all, long at, String part) {
    Terms.Release terms = evidence.terms().release();
    Entry.Budget budget = budget(evidence, at);
    List<String> out =
        all.stream()
            .filter(
                g ->
                    !g.part().equals(part)
                        && g.from() + (g.planned() ? 0 : terms.seenWithin()) < at
                        && at < g.to())
            .map(Absences.Gone::part)
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
