package beaconturn.history;

import java.util.List;

/** Every request that a router took has exactly one final answer, in time. */
final class ExactlyOneAnswer extends Invariant {
  /**
   * Bytes that are written before the end of their connection is seen were on their way for so
   * long.
   */
  private static final long ON_ITS_WAY = 40_000_000;

  /**
   * An end that comes so soon after commands had begun to be written may have crossed whole ones.
   */
  private static final long CROSSING = 150_000_000;

  ExactlyOneAnswer() {
    super("one-answer", "exactly one final answer, before the deadline");
  }

  @Override
  void judge(HistoryIndex evidence) {
    crossings(evidence);
    halfSent(evidence);
    for (HistoryIndex.Case one : evidence.cases()) {
      HistoryEvent.Asked asked = one.asked();
      List<HistoryEvent.Answered> finals = one.finals();
      boolean left = one.leftAt() < Long.MAX_VALUE;
      if (asked == null || (finals.isEmpty() && (one.untaken() || left))) {
        continue;
      }
      if (finals.isEmpty()) {
        missing(evidence, one, asked);
      } else {
        HistoryEvent.Answered first = finals.get(0);
        check(
            finals.size() == 1,
            finals.get(finals.size() - 1).at(),
            one.id(),
            "",
            finals.size() + " final answers");
        // What an answer waits for those in front of it on its connection does not count.
        long from =
            one.inFrontUntil() == 0
                ? asked.at()
                : Math.max(asked.at(), one.inFrontUntil() - (asked.deadline() - asked.at()));
        long took = evidence.between(from, first.at());
        long late = took - (asked.deadline() - asked.at());
        boolean kept =
            late <= evidence.terms().answerSlack() || killed(evidence, asked, first.at());
        check(kept, first.at(), one.id(), "", "answered " + millis(late) + " after its deadline");
      }
    }
  }

  /** A close may cross a request that was not read, but what was sent on had been taken. */
  private void crossings(HistoryIndex evidence) {
    for (HistoryEvent.Crossed crossed : evidence.all(HistoryEvent.Crossed.class)) {
      HistoryIndex.Case one = evidence.request(crossed.id());
      boolean taken = one.sends().stream().anyMatch(sent -> sent.at() < crossed.at());
      boolean killed = killed(evidence, one.firstAsked(), crossed.at());
      check(
          !taken || killed, crossed.at(), one.id(), "", "its connection ended after it was taken");
      boolean late = evidence.between(crossed.begun(), crossed.at()) > CROSSING;
      check(!late || killed, crossed.at(), one.id(), "", "its connection ended with no answer");
    }
  }

  /**
   * A command that has begun to arrive is let come, but by a router that stops or if it crosses an
   * end.
   */
  private void halfSent(HistoryIndex evidence) {
    for (HistoryEvent.HalfSent half : evidence.all(HistoryEvent.HalfSent.class)) {
      boolean stopped =
          evidence.all(HistoryEvent.Stopped.class).stream()
              .anyMatch(stop -> stop.router() == half.router() && stop.at() <= half.at());
      boolean crossed = half.resting() && evidence.between(half.begun(), half.at()) <= ON_ITS_WAY;
      check(
          stopped || crossed,
          half.at(),
          half.id(),
          "router " + half.router(),
          "its connection ended over a command that had begun");
    }
  }

  /** What a killed router held is its client's to retry; anything else must be answered. */
  private void missing(HistoryIndex evidence, HistoryIndex.Case one, HistoryEvent.Asked asked) {
    long until = one.answers().isEmpty() ? asked.deadline() : one.answers().get(0).at();
    boolean killed = killed(evidence, asked, until);
    boolean broken = one.answers().stream().anyMatch(a -> a.kind() == HistoryEvent.Kind.BROKEN);
    check(
        killed,
        until,
        one.id(),
        "",
        broken ? "its connection ended with no answer" : "never answered");
  }

  /**
   * Whether the router was killed or stood still while it had the request, which ended so at a
   * time.
   */
  private static boolean killed(HistoryIndex evidence, HistoryEvent.Asked asked, long ended) {
    return evidence.all(HistoryEvent.Stopped.class).stream()
        .anyMatch(
            stop ->
                !stop.planned()
                    && stop.router() == asked.router()
                    && stop.at() <= ended
                    && asked.at() <= stop.until() + evidence.terms().sendSlack());
  }
}
