package beaconturn.history;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * No two routers act on contradicting versions for longer than the stated time. What shows at cache
 * servers is which of them is sent to: of two versions that follow each other, a server that only
 * the earlier allows, and one that only the later allows; sends beyond the number that the later
 * allows; repeats of what may have run, of classes that are unsafe in one of them; and sends to
 * what had left the list. From the later version's first effect anywhere, or from when it came into
 * force if that is earlier, the earlier one's effects must end within the stated time; and before
 * it is in force it must have none.
 */
final class NoConflictingVersions extends Invariant {
  private record Stage(
      long number,
      long proposed,
      long inForce,
      Set<String> out,
      int mostTries,
      Set<String> unsafe,
      boolean lists) {}

  private final List<Sign> signs = new ArrayList<>();

  /** What the earlier of two versions did that the later forbids. */
  private record Sign(HistoryEvent.Sent sent, long joined, String what) {}

  NoConflictingVersions() {
    super("no-contradiction", "nobody acts on an older version beyond the stated time");
  }

  @Override
  void judge(HistoryIndex evidence) {
    List<Stage> stages = stages(evidence);
    for (int i = 1; i < stages.size(); i++) {
      long until = i + 1 < stages.size() ? stages.get(i + 1).proposed() : Long.MAX_VALUE;
      compare(evidence, stages.get(i - 1), stages.get(i), until);
    }
  }

  /** Versions as they came into force, from the routers' own configuration on. */
  private static List<Stage> stages(HistoryIndex evidence) {
    int base = evidence.terms().mostTries();
    List<Stage> stages =
        new ArrayList<>(
            List.of(new Stage(0, Long.MIN_VALUE, Long.MIN_VALUE, Set.of(), base, Set.of(), false)));
    long last = 0;
    for (HistoryEvent.Versioned v : evidence.all(HistoryEvent.Versioned.class)) {
      int tries = v.mostTries() == 0 ? base : v.mostTries();
      if (v.step() == HistoryEvent.Step.PROPOSED) {
        // One that never comes into force stays as a stage: acting on it all the same is an
        // offence.
        if (last > 0 && stages.get(stages.size() - 1).inForce() == Long.MAX_VALUE) {
          stages.remove(stages.size() - 1);
        }
        stages.add(
            new Stage(v.number(), v.at(), Long.MAX_VALUE, v.out(), tries, v.unsafe(), v.lists()));
        last = v.number();
      } else if (v.number() == last) {
        Stage proposed = stages.remove(stages.size() - 1);
        stages.add(
            new Stage(last, proposed.proposed(), v.at(), v.out(), tries, v.unsafe(), v.lists()));
      }
    }
    return stages;
  }

  private void compare(HistoryIndex evidence, Stage before, Stage after, long until) {
    Set<String> onlyAfter = new TreeSet<>(before.out());
    onlyAfter.removeAll(after.out());
    HistoryEvent.Sent first = null;
    signs.clear();
    for (HistoryIndex.Case one : evidence.cases()) {
      String type = one.asked() == null ? "" : one.asked().type();
      int tries = 0;
      for (HistoryEvent.Sent sent : one.sends()) {
        tries++;
        if (sent.firstAt() < after.proposed() || sent.firstAt() >= until) {
          continue;
        }
        HistoryEvent.Member member = member(evidence, sent);
        if (!member.on()) {
          continue;
        }
        boolean allowedByAfter =
            onlyAfter.contains(sent.server())
                || (before.unsafe().contains(type)
                    && !after.unsafe().contains(type)
                    && repeats(evidence, one, sent));
        if (allowedByAfter && !fresh(evidence, sent, member.at())) {
          first = first == null || sent.firstAt() < first.firstAt() ? sent : first;
          ahead(sent, after);
        }
        String older = older(evidence, before, after, one, sent, tries);
        if (older != null) {
          signs.add(new Sign(sent, member.at(), older));
        }
      }
    }
    late(evidence, before, after, first);
  }

  /** What of a send only the earlier version allows, in words, or null. */
  private String older(
      HistoryIndex evidence,
      Stage before,
      Stage after,
      HistoryIndex.Case one,
      HistoryEvent.Sent sent,
      int tries) {
    String type = one.asked() == null ? "" : one.asked().type();
    boolean unsafeNow = after.unsafe().contains(type) && !before.unsafe().contains(type);
    if (after.out().contains(sent.server()) && !before.out().contains(sent.server())) {
      return "";
    }
    if (unsafeNow && repeats(evidence, one, sent)) {
      return " with a repeat of what is unsafe by then";
    }
    if (after.lists()
        && sent.firstAt() >= after.inForce()
        && left(evidence, sent.server(), after.proposed())
        && left(evidence, sent.server(), sent.firstAt())) {
      return "'s list, of before its server left it,";
    }
    if (tries > after.mostTries() && tries <= before.mostTries()) {
      return " with send " + tries + " of a request";
    }
    if (unsafeNow || (after.lists() && sent.firstAt() >= after.inForce())) {
      // Each send could have been a repeat, or to what had left the list.
      check(true, sent.firstAt(), sent.id(), sent.server(), "");
    }
    return null;
  }

  /** Whether an earlier send of the request may have run by then. */
  @SuppressWarnings("ReferenceEquality") // Events are told apart by object.
  private static boolean repeats(
      HistoryIndex evidence, HistoryIndex.Case one, HistoryEvent.Sent sent) {
    return one.sends().stream()
        .takeWhile(earlier -> earlier != sent)
        .anyMatch(earlier -> evidence.mayHaveRun(earlier, sent.at()));
  }

  /** Whether discovery had the server as draining or gone at that time. */
  private static boolean left(HistoryIndex evidence, String server, long at) {
    HistoryEvent.State state = HistoryEvent.State.READY;
    for (HistoryEvent.Listed change : evidence.all(HistoryEvent.Listed.class)) {
      state = change.server().equals(server) && change.at() <= at ? change.state() : state;
    }
    return state != HistoryEvent.State.READY;
  }

  /**
   * Whether its router was asked for its yes: one that left, or starts without a store in reach,
   * cannot know what came into force without it. From when it joins it has the stated time. Where
   * nothing is known of a router it counts as asked.
   */
  private static HistoryEvent.Member member(HistoryIndex evidence, HistoryEvent.Sent sent) {
    HistoryEvent.Member last = new HistoryEvent.Member(Long.MIN_VALUE, sent.router(), true);
    for (HistoryEvent.Member m : evidence.all(HistoryEvent.Member.class)) {
      // Its line is written again with each yes: what counts is when it came to stand.
      if (m.router() == sent.router() && m.at() <= sent.firstAt() && m.on() != last.on()) {
        last = m;
      }
    }
    return last;
  }

  /** Whether its router has joined so lately that it may not act on what is in force yet. */
  private static boolean fresh(HistoryIndex evidence, HistoryEvent.Sent sent, long joined) {
    return joined > Long.MIN_VALUE
        && evidence.between(joined, sent.firstAt()) <= evidence.terms().stated();
  }

  /** What a stand-in has read was sent before: no later moment can be the one of the send. */
  private void ahead(HistoryEvent.Sent sent, Stage after) {
    check(
        sent.at() >= after.inForce(),
        sent.firstAt(),
        sent.id(),
        sent.server(),
        "router "
            + sent.router()
            + " acts on version "
            + after.number()
            + (after.inForce() == Long.MAX_VALUE
                ? ", which never came into force"
                : " " + millis(after.inForce() - sent.at()) + " before it is in force"));
  }

  private void late(HistoryIndex evidence, Stage before, Stage after, HistoryEvent.Sent first) {
    long since = first == null ? after.inForce() : Math.min(first.firstAt(), after.inForce());
    String who =
        first != null && first.firstAt() == since
            ? "router " + first.router() + " acted on version " + after.number()
            : "version " + after.number() + " came into force";
    for (Sign sign : signs) {
      HistoryEvent.Sent sent = sign.sent();
      if (sent.firstAt() >= since) {
        long late = evidence.between(Math.max(since, sign.joined()), sent.firstAt());
        seen(late);
        check(
            late <= evidence.terms().stated() + evidence.terms().sendSlack(),
            sent.firstAt(),
            sent.id(),
            sent.server(),
            "router "
                + sent.router()
                + " acts on version "
                + before.number()
                + sign.what()
                + " "
                + millis(late)
                + " after "
                + who);
      }
    }
  }
}
