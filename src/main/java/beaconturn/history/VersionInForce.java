package beaconturn.history;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/**
 * A configuration version as the store saw it.
 *
 * @param number its number; 0 for the configuration that routers start with
 * @param proposedNanos when it was proposed
 * @param inForceNanos when it came into force, or {@code Long.MAX_VALUE} if it never did
 * @param excluded cache servers that it excludes
 * @param maxAttempts attempts that it allows for a request
 * @param nonIdempotentClasses classes of which nothing is to be repeated
 * @param limitsListAge whether nobody may act on an endpoint list from before the proposal
 */
record VersionInForce(
    long number,
    long proposedNanos,
    long inForceNanos,
    Set<String> excluded,
    int maxAttempts,
    Set<String> nonIdempotentClasses,
    boolean limitsListAge) {
  /** All versions in their order, from the configuration that routers start with. */
  static List<VersionInForce> of(HistoryIndex history) {
    int initialAttempts = history.bounds().maxAttempts();
    List<VersionInForce> versions = new ArrayList<>();
    versions.add(
        new VersionInForce(
            0, Long.MIN_VALUE, Long.MIN_VALUE, Set.of(), initialAttempts, Set.of(), false));
    for (HistoryEvent.VersionStageReached event :
        history.events(HistoryEvent.VersionStageReached.class)) {
      VersionInForce last = versions.get(versions.size() - 1);
      int maxAttempts = event.maxAttempts() == 0 ? initialAttempts : event.maxAttempts();
      if (event.stage() == HistoryEvent.VersionStage.PROPOSED) {
        // A version that never came into force stays only while it is the last: acting on it all
        // the same is a violation.
        if (last.number() > 0 && !last.isInForce()) {
          versions.remove(versions.size() - 1);
        }
        versions.add(of(event, event.atNanos(), Long.MAX_VALUE, maxAttempts));
      } else if (event.number() == last.number()) {
        versions.remove(versions.size() - 1);
        versions.add(of(event, last.proposedNanos(), event.atNanos(), maxAttempts));
      }
    }
    return versions;
  }

  private static VersionInForce of(
      HistoryEvent.VersionStageReached event,
      long proposedNanos,
      long inForceNanos,
      int maxAttempts) {
    return new VersionInForce(
        event.number(),
        proposedNanos,
        inForceNanos,
        event.excluded(),
        maxAttempts,
        event.nonIdempotentClasses(),
        event.limitsListAge());
  }

  /** Whether it came into force. */
  boolean isInForce() {
    return inForceNanos < Long.MAX_VALUE;
  }
}
