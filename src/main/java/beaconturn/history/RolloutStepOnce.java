package beaconturn.history;

import java.util.HashMap;
import java.util.Map;

/** An instance is changed once in each direction, and what does harm stays with the first wave. */
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
          !repeated || endedBetween(history, last, change),
          change.atNanos(),
          "",
          "",
          change.instanceId() + " was taken out twice for the same step");
      checkHarmed(history.bounds().rollout().maxHarmed(), change);
    }
  }

  private void checkHarmed(int maxHarmed, HistoryEvent.VariantChangeStarted change) {
    if (maxHarmed <= 0 || !change.toReleased()) {
      return;
    }
    long harmed =
        lastChanges.values().stream().filter(HistoryEvent.VariantChangeStarted::toReleased).count();
    check(
        harmed <= maxHarmed,
        change.atNanos(),
        "",
        "",
        harmed + " parts run what harms, " + maxHarmed + " had to show it");
  }

  /** Whether the router ended by itself between two changes; its start again is no second step. */
  private static boolean endedBetween(
      HistoryIndex history,
      HistoryEvent.VariantChangeStarted first,
      HistoryEvent.VariantChangeStarted second) {
    int router = second.router();
    boolean died =
        history.events(HistoryEvent.RouterCrashed.class).stream()
            .filter(event -> event.router() == router)
            .anyMatch(event -> isBetween(event.atNanos(), first, second));
    return died
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
