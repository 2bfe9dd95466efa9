package beaconturn.ledger;

import java.util.List;

/** The origin is not pushed past its stopping point by the misses of cold servers. */
final class OriginKept extends Rule {
  /** From this part of the recent fetches on, a fall is put down to them. */
  private static final double BLAMED = 0.5;

  OriginKept() {
    super("origin-kept", "the origin is not pushed over by misses of cold servers");
  }

  @Override
  void judge(Evidence evidence) {
    List<Entry.Fetched> fetches = evidence.all(Entry.Fetched.class);
    for (Entry.Fetched fetch : fetches) {
      check(true, fetch.at(), "", fetch.server(), "");
    }
    for (Entry.Collapsed fall : evidence.all(Entry.Collapsed.class)) {
      if (fall.server().equals("origin")) {
        List<Entry.Fetched> recent =
            fetches.stream()
                .filter(
                    f ->
                        f.at() <= fall.at()
                            && f.at() > fall.at() - 2 * evidence.terms().fallAfter())
                .toList();
        long cold = recent.stream().filter(Entry.Fetched::cold).count();
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
