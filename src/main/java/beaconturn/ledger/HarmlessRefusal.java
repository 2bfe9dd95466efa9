package beaconturn.ledger;

/**
 * A refusal promises that trying again is harmless: an unsafe request that may have run is not
 * refused.
 */
final class HarmlessRefusal extends Rule {
  HarmlessRefusal() {
    super("harmless-refusal", "refused only where a new try is harmless");
  }

  @Override
  void judge(Evidence evidence) {
    for (Evidence.Case one : evidence.cases()) {
      Entry.Asked asked = one.asked();
      boolean unsafe =
          asked != null && evidence.terms().effect(asked.type()) == Terms.Effect.UNSAFE;
      for (Entry.Answered answer : one.answers()) {
        if (answer.kind() == Entry.Kind.REFUSED) {
          Entry.Sent ran =
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
