package beaconturn.history;

/** Routers run until they are told to stop. */
final class RoutersStayUp extends Invariant {
  RoutersStayUp() {
    super("routers-run", "no router ends by itself");
  }

  @Override
  void evaluate(HistoryIndex history) {
    history.events(HistoryEvent.DiscoveryPolled.class).forEach(poll -> countHeld());
    for (HistoryEvent.RouterCrashed died : history.events(HistoryEvent.RouterCrashed.class)) {
      check(false, died.atNanos(), "", "router " + died.router(), died.reason());
    }
  }
}
