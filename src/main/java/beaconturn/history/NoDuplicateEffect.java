package beaconturn.history;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A request that may have run is sent again only as its class allows: never where it is unsafe, and
 * where it is keyed only within the group that discards repeats, as long as that remembers.
 */
final class NoDuplicateEffect extends Invariant {
  private final Map<String, HistoryEvent.Started> servers = new HashMap<>();

  NoDuplicateEffect() {
    super("no-effect-twice", "what may have run is not run again");
  }

  @Override
  void judge(HistoryIndex evidence) {
    evidence.all(HistoryEvent.Started.class).forEach(start -> servers.put(start.server(), start));
    for (HistoryIndex.Case one : evidence.cases()) {
      HistoryEvent.Asked asked = one.asked();
      if (asked != null && evidence.terms().effect(asked.type()) != InvariantBounds.Effect.SAFE) {
        resends(evidence, one, asked);
        runs(evidence, one);
      }
    }
  }

  private void resends(HistoryIndex evidence, HistoryIndex.Case one, HistoryEvent.Asked asked) {
    boolean unsafe = evidence.terms().effect(asked.type()) == InvariantBounds.Effect.UNSAFE;
    List<HistoryEvent.Sent> sends = one.sends();
    for (int i = 0; i < sends.size(); i++) {
      HistoryEvent.Sent later = sends.get(i);
      String wrong = null;
      for (HistoryEvent.Sent earlier : sends.subList(0, i)) {
        if (evidence.mayHaveRun(earlier, later.at())) {
          String why =
              unsafe
                  ? "unsafe and may have run on " + earlier.server()
                  : keyed(evidence, asked, earlier, later);
          wrong = wrong == null ? why : wrong;
        }
      }
      check(wrong == null, later.at(), one.id(), later.server(), "sent again: " + wrong);
    }
  }

  /** Why a keyed request must not go there, or null. */
  private String keyed(
      HistoryIndex evidence,
      HistoryEvent.Asked asked,
      HistoryEvent.Sent earlier,
      HistoryEvent.Sent later) {
    InvariantBounds.Type type = evidence.terms().types().get(asked.type());
    long age = evidence.between(earlier.at(), later.firstAt());
    if (age > type.window() + evidence.terms().sendSlack()) {
      return "keyed, "
          + millis(age - type.window())
          + " after its repeats were no longer discarded";
    }
    HistoryEvent.Started a = servers.get(earlier.server());
    HistoryEvent.Started b = servers.get(later.server());
    boolean group =
        switch (type.scope()) {
          case "zone" -> a.zone().equals(b.zone());
          case "cell" -> a.zone().equals(b.zone()) && a.cell() == b.cell();
          default -> true;
        };
    return group ? null : "keyed and may have run outside the group, on " + earlier.server();
  }

  /**
   * A keyed effect that comes about again after the group has forgotten its key was sent by the
   * rule: its first copy stood still somewhere for longer than the window. No router can prevent
   * that, so it is noted only.
   */
  private void runs(HistoryIndex evidence, HistoryIndex.Case one) {
    List<HistoryEvent.Ran> runs =
        one.sends().stream()
            .map(evidence::ran)
            .filter(r -> r != null && !r.repeat())
            .sorted(Comparator.comparingLong(HistoryEvent.Ran::at))
            .toList();
    long at = runs.isEmpty() ? 0 : runs.get(runs.size() - 1).at();
    InvariantBounds.Type type = evidence.terms().types().get(one.asked().type());
    boolean forgotten =
        runs.size() > 1
            && type != null
            && type.effect() == InvariantBounds.Effect.KEYED
            && runs.get(1).at() - runs.get(0).at() >= type.window();
    check(
        runs.size() <= 1 || forgotten,
        at,
        one.id(),
        "",
        "its effect has come about " + runs.size() + " times");
    if (forgotten) {
      note(
          at,
          one.id(),
          "",
          "a keyed effect came about again "
              + millis(runs.get(1).at() - runs.get(0).at())
              + " later, when its key was forgotten: its first copy had stood still for that long");
    }
  }
}
