package beaconturn.history;

/**
 * A refusal promises that trying again is harmless: an unsafe request that may have run is not
 * refused.
 */
final class RejectionIsSafe extends Invariant {
  RejectionIsSafe() {
    super("harmless-refusal", "refused only where a new try is harmless");
  }

  @Override
  void judge(HistoryIndex evidence) {
    for (HistoryIndex.Case one : evidence.cases()) {
      HistoryEvent.Asked asked = one.asked();
      boolean unsafe =
          asked != null && evidence.terms().effect(asked.type()) == InvariantBounds.Effect.UNSAFE;
      for (HistoryEvent.Answered answer : one.answers()) {
        if (answer.kind() == HistoryEvent.Kind.REFUSED) {
          HistoryEvent.Sent ran =
              !unsafe
                  ? null
                  : one.sends().stream()
                      .filter(sent -> evidence.mayHaveRun(sent, answer.at()))
                      .findFirst()
                      .orElse(null);
          check(
              ran == null,
              answer.at(),
              one.id(),
              ran == null ? "" : ran.server(),
              "refused though it may have run");
        }
      }
    }
  }
}
