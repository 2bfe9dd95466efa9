package beaconturn.history;

/** Routers run until they are told to stop, and then end as planned. */
final class RoutersStayUp extends Invariant {
  RoutersStayUp() {
    super("routers-run", "no router ends by itself");
  }

  @Override
  void judge(HistoryIndex evidence) {
    for (HistoryEvent.Called call : evidence.all(HistoryEvent.Called.class)) {
      check(true, call.at(), "", "", "");
    }
    for (HistoryEvent.Died died : evidence.all(HistoryEvent.Died.class)) {
      check(false, died.at(), "", "router " + died.router(), died.how());
    }
  }
}
