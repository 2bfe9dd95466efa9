package beaconturn.history;

/** Checks that routers run until they are asked to stop. */
final class RoutersStayUp extends Invariant {
  RoutersStayUp() {
    super("routers-run", "no router ends by itself");
  }

  @Override
  void evaluate(HistoryIndex history) {
    history.events(HistoryEvent.DiscoveryPolled.class).forEach(poll -> countHeld());
    for (HistoryEvent.RouterCrashed crash : history.events(HistoryEvent.RouterCrashed.class)) {
      check(false, crash.atNanos(), "", "router " + crash.router(), crash.reason());
    }
  }
}
