package beaconturn.history;

import java.util.HashMap;
import java.util.Map;

/**
 * Checks that an instance is changed once in each direction, and that only the first wave runs a
 * faulty released variant.
 */
final class RolloutStepOnce extends Invariant {
  private final Map<String, HistoryEvent.VariantChangeStarted> lastChanges = new HashMap<>();

  RolloutStepOnce() {
    super("step-once", "each part is changed once, and no more than the first wave to what harms");
  }

  @Override
  void evaluate(HistoryIndex history) {
    if (history.bounds().rollout() == null) {
      return;
    }
    for (HistoryEvent.VariantChangeStarted change :
        history.events(HistoryEvent.VariantChangeStarted.class)) {
      HistoryEvent.VariantChangeStarted last = lastChanges.put(change.instanceId(), change);
      boolean repeated = last != null && last.toReleased() == change.toReleased();
      check(
          !repeated || exitedBetween(history, last, change),
          change.atNanos(),
          "",
          "",
          change.instanceId() + " was taken out twice for the same step");
      checkFaultyInstances(history.bounds().rollout().maxFaultyInstances(), change);
    }
  }

  private void checkFaultyInstances(
      int maxFaultyInstances, HistoryEvent.VariantChangeStarted change) {
    if (maxFaultyInstances <= 0 || !change.toReleased()) {
      return;
    }
    long faulty =
        lastChanges.values().stream().filter(HistoryEvent.VariantChangeStarted::toReleased).count();
    check(
        faulty <= maxFaultyInstances,
        change.atNanos(),
        "",
        "",
        faulty + " parts run what harms, " + maxFaultyInstances + " had to show it");
  }

  /**
   * Returns whether the router crashed or was killed between two changes. Restarting it is not a
   * repeated step.
   */
  private static boolean exitedBetween(
      HistoryIndex history,
      HistoryEvent.VariantChangeStarted first,
      HistoryEvent.VariantChangeStarted second) {
    int router = second.router();
    boolean crashed =
        history.events(HistoryEvent.RouterCrashed.class).stream()
            .filter(event -> event.router() == router)
            .anyMatch(event -> isBetween(event.atNanos(), first, second));
    return crashed
        || history.events(HistoryEvent.RouterStopped.class).stream()
            .filter(event -> !event.planned() && event.router() == router)
            .anyMatch(event -> isBetween(event.atNanos(), first, second));
  }

  private static boolean isBetween(
      long atNanos,
      HistoryEvent.VariantChangeStarted first,
      HistoryEvent.VariantChangeStarted second) {
    return atNanos > first.atNanos() && atNanos <= second.atNanos();
  }
}
