package beaconturn.history;

import java.util.List;

/** Checks that the origin does not collapse under fetches of cache servers that are warming up. */
final class OriginOverload extends Invariant {
  /** Share of recent fetches by warming servers from which a collapse is attributed to them. */
  private static final double MIN_WARM_UP_SHARE = 0.5;

  OriginOverload() {
    super("origin-kept", "the origin is not pushed over by misses of cold servers");
  }

  @Override
  void evaluate(HistoryIndex history) {
    history.events(HistoryEvent.OriginFetched.class).forEach(fetch -> countHeld());
    for (HistoryEvent.ServerCollapsed collapse :
        history.events(HistoryEvent.ServerCollapsed.class)) {
      if (collapse.server().equals("origin")) {
        checkCollapse(history, collapse.atNanos());
      }
    }
  }

  private void checkCollapse(HistoryIndex history, long atNanos) {
    long fromNanos = atNanos - 2 * history.bounds().overloadNanos();
    List<HistoryEvent.OriginFetched> recent =
        history.events(HistoryEvent.OriginFetched.class).stream()
            .filter(fetch -> fetch.atNanos() <= atNanos && fetch.atNanos() > fromNanos)
            .toList();
    long warmingUp = recent.stream().filter(HistoryEvent.OriginFetched::warmingUp).count();
    check(
        recent.isEmpty() || warmingUp < MIN_WARM_UP_SHARE * recent.size(),
        atNanos,
        "",
        "origin",
        "fell over with "
            + warmingUp
            + " of "
            + recent.size()
            + " recent fetches from cold servers");
  }
}
