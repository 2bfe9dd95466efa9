package beaconturn.history;

import java.util.List;

/** The origin is not pushed past its stopping point by the misses of cold servers. */
final class OriginOverload extends Invariant {
  /** From this part of the recent fetches on, a fall is put down to them. */
  private static final double BLAMED = 0.5;

  OriginOverload() {
    super("origin-kept", "the origin is not pushed over by misses of cold servers");
  }

  @Override
  void judge(HistoryIndex evidence) {
    List<HistoryEvent.Fetched> fetches = evidence.all(HistoryEvent.Fetched.class);
    for (HistoryEvent.Fetched fetch : fetches) {
      check(true, fetch.at(), "", fetch.server(), "");
    }
    for (HistoryEvent.Collapsed fall : evidence.all(HistoryEvent.Collapsed.class)) {
      if (fall.server().equals("origin")) {
        List<HistoryEvent.Fetched> recent =
            fetches.stream()
                .filter(
                    f ->
                        f.at() <= fall.at()
                            && f.at() > fall.at() - 2 * evidence.terms().fallAfter())
                .toList();
        long cold = recent.stream().filter(HistoryEvent.Fetched::cold).count();
        check(
            recent.isEmpty() || cold < BLAMED * recent.size(),
            fall.at(),
            "",
            "origin",
            "fell over with "
                + cold
                + " of "
                + recent.size()
                + " recent fetches from cold servers");
      }
    }
  }
}
