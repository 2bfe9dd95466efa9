package beaconturn.ledger;

/**
 * What reaches a cache server is a client's request, unchanged, by way of the router that took it.
 */
final class PassedOn extends Rule {
  PassedOn() {
    super("passed-on", "requests reach cache servers as clients gave them");
  }

  @Override
  void judge(Evidence evidence) {
    for (Evidence.Case one : evidence.cases()) {
      Entry.Asked asked = one.asked();
      for (Entry.Sent sent : one.sends()) {
        String wrong =
            asked == null
                ? "no client has asked for it"
                : asked.router() != sent.router()
                    ? "another router took it"
                    : !asked.key().equals(sent.key()) || !asked.type().equals(sent.type())
                        ? "its key or class was changed"
                        : null;
        check(wrong == null, sent.at(), one.id(), sent.server(), "" + wrong);
      }
    }
    for (Entry.Unreadable odd : evidence.all(Entry.Unreadable.class)) {
      check(false, odd.at(), "", odd.server(), "a router sent what cannot be read: " + odd.why());
    }
  }
}
