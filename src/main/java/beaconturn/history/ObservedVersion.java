package beaconturn.history;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/**
 * A configuration version as recorded in the store.
 *
 * @param number number of the version; 0 for the configuration that routers start with
 * @param proposedNanos when the version was proposed
 * @param inForceNanos when the version came into force, or {@code Long.MAX_VALUE} if it never did
 * @param excluded cache servers that the version excludes
 * @param maxAttempts maximum attempts of a request
 * @param nonIdempotentClasses request classes that must not be repeated
 * @param limitsListAge whether routers must not act on an endpoint list from before the proposal
 */
record ObservedVersion(
    long number,
    long proposedNanos,
    long inForceNanos,
    Set<String> excluded,
    int maxAttempts,
    Set<String> nonIdempotentClasses,
    boolean limitsListAge) {
  /** Returns all versions in order, starting with the configuration that routers start with. */
  static List<ObservedVersion> of(HistoryIndex history) {
    int initialAttempts = history.bounds().maxAttempts();
    List<ObservedVersion> versions = new ArrayList<>();
    versions.add(
        new ObservedVersion(
            0, Long.MIN_VALUE, Long.MIN_VALUE, Set.of(), initialAttempts, Set.of(), false));
    for (HistoryEvent.VersionStageReached event :
        history.events(HistoryEvent.VersionStageReached.class)) {
      ObservedVersion last = versions.get(versions.size() - 1);
      int maxAttempts = event.maxAttempts() == 0 ? initialAttempts : event.maxAttempts();
      if (event.stage() == HistoryEvent.VersionStage.PROPOSED) {
        // A version that never came into force is replaced by the next proposal. The last one
        // stays, so that acting on it is detected.
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

  private static ObservedVersion of(
      HistoryEvent.VersionStageReached event,
      long proposedNanos,
      long inForceNanos,
      int maxAttempts) {
    return new ObservedVersion(
        event.number(),
        proposedNanos,
        inForceNanos,
        event.excluded(),
        maxAttempts,
        event.nonIdempotentClasses(),
        event.limitsListAge());
  }

  /** Returns whether the version came into force. */
  boolean isInForce() {
    return inForceNanos < Long.MAX_VALUE;
  }
}
