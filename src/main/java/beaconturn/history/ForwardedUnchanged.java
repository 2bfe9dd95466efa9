package beaconturn.history;

/**
 * What reaches a cache server is a client's request, unchanged, by way of the router that took it.
 */
final class ForwardedUnchanged extends Invariant {
  ForwardedUnchanged() {
    super("passed-on", "requests reach cache servers as clients gave them");
  }

  @Override
  void judge(HistoryIndex evidence) {
    for (HistoryIndex.Case one : evidence.cases()) {
      HistoryEvent.Asked asked = one.asked();
      for (HistoryEvent.Sent sent : one.sends()) {
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
    for (HistoryEvent.Unreadable odd : evidence.all(HistoryEvent.Unreadable.class)) {
      check(false, odd.at(), "", odd.server(), "a router sent what cannot be read: " + odd.why());
    }
  }
}
