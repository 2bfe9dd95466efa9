package beaconturn.ledger;

/** Routers run until they are told to stop, and then end as planned. */
final class RoutersRun extends Rule {
  RoutersRun() {
    super("routers-run", "no router ends by itself");
  }

  @Override
  void judge(Evidence evidence) {
    for (Entry.Called call : evidence.all(Entry.Called.class)) {
      check(true, call.at(), "", "", "");
    }
    for (Entry.Died died : evidence.all(Entry.Died.class)) {
      check(false, died.at(), "", "router " + died.router(), died.how());
    }
  }
}
