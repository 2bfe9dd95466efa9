package beaconturn.decision;

import java.util.SplittableRandom;

/**
 * Collects the caches that one walk along the ring has come by, and gives the best of them; reused
 * from walk to walk.
 */
final class ServerChoice {
  private final SplittableRandom random;

  /** Caches in this zone come first; negative for no preference. */
  private final int preferredZone;

  private ServerState chosen;
  private int tiedCandidates;
  private ServerState leastLoaded;
  private ServerState lastResort;

  ServerChoice(SplittableRandom random, int preferredZone) {
    this.random = random;
    this.preferredZone = preferredZone;
  }

  /** Forgets the last walk. */
  void clear() {
    chosen = null;
    tiedCandidates = 0;
    leastLoaded = null;
    lastResort = null;
  }

  /** A cache with capacity; chance decides between those that are alike. */
  void addWithCapacity(ServerState server) {
    int preference = chosen == null ? 1 : preference(server) - preference(chosen);
    if (preference > 0) {
      chosen = server;
      tiedCandidates = 1;
    } else if (preference == 0) {
      tiedCandidates++;
      if (random.nextInt(tiedCandidates) == 0) {
        chosen = server;
      }
    }
  }

  private int preference(ServerState server) {
    return server.zone() == preferredZone ? 1 : 0;
  }

  /** A cache that has no capacity left. */
  void addFull(ServerState server) {
    leastLoaded = ServerState.lessLoaded(leastLoaded, server);
  }

  /** A cache that is passed over as long as there is another. */
  void addLastResort(ServerState server) {
    lastResort = ServerState.lessLoaded(lastResort, server);
  }

  /** One with capacity; all full: the least loaded; null if the walk came by none. */
  ServerState best() {
    if (chosen != null) {
      return chosen;
    }
    return leastLoaded != null ? leastLoaded : lastResort;
  }
}
