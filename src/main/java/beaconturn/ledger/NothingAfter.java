package beaconturn.ledger;

/** Once a request has its final answer, nothing more is sent for it. */
final class NothingAfter extends Rule {
    NothingAfter() {
        super("nothing-after", "nothing is sent for a request after its answer");
    }

    @Override
    void judge(Evidence evidence) {
        for (Evidence.Case one : evidence.cases()) {
            if (one.finals().isEmpty()) {
                continue;
            }
            long answered = one.finals().get(0).at();
            for (Entry.Sent sent : one.sends()) {
                long late = evidence.between(answered, sent.firstAt());
                check(sent.firstAt() <= answered || late <= evidence.terms().sendSlack(), sent.firstAt(),
                    one.id(), sent.server(), "sent " + millis(late) + " after the answer");
            }
        }
    }
}
