package beaconturn.decision;

import java.util.SplittableRandom;

/**
 * Collects the candidates of one walk along the ring and returns the best of them. Reused from walk
 * to walk.
 */
final class ServerChoice {
  private final SplittableRandom random;

  /** Caches in this zone are preferred; negative for no preference. */
  private final int preferredZone;

  private ServerState chosen;
  private int tiedCandidates;
  private ServerState leastLoadedFull;
  private ServerState lastResort;

  ServerChoice(SplittableRandom random, int preferredZone) {
    this.random = random;
    this.preferredZone = preferredZone;
  }

  void clear() {
    chosen = null;
    tiedCandidates = 0;
    leastLoadedFull = null;
    lastResort = null;
  }

  /** Adds a cache with capacity; ties are broken at random. */
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

  /** Adds a cache without capacity. */
  void addFull(ServerState server) {
    leastLoadedFull = ServerState.lessLoaded(leastLoadedFull, server);
  }

  /** Adds a cache that is used only if there is no other. */
  void addLastResort(ServerState server) {
    lastResort = ServerState.lessLoaded(lastResort, server);
  }

  /**
   * Returns a cache with capacity; otherwise the least loaded full one, then the last resort; null
   * if the walk found none.
   */
  ServerState best() {
    if (chosen != null) {
      return chosen;
    }
    return leastLoadedFull != null ? leastLoadedFull : lastResort;
  }
}
