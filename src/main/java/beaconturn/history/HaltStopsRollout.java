package beaconturn.history;

import java.util.List;

/**
 * Checks that no instance is changed later than the allowed delay after a halt, until an operator
 * resumes the release or rolls it back.
 */
final class HaltStopsRollout extends Invariant {
  private static final String HALT = "halt";

  HaltStopsRollout() {
    super("halt-binds", "no step begins beyond the stated time after a halt");
  }

  @Override
  void evaluate(HistoryIndex history) {
    if (history.bounds().rollout() == null) {
      return;
    }
    List<HistoryEvent.ReleaseCommanded> commands =
        history.events(HistoryEvent.ReleaseCommanded.class);
    for (HistoryEvent.ReleaseCommanded command : commands) {
      if (command.command().equals(HALT)) {
        // Counts the halt itself as checked, also where no change follows it.
        countHeld();
        checkHalt(
            history, command.atNanos(), nextCommandOtherThanHalt(commands, command.atNanos()));
      }
    }
  }

  private static long nextCommandOtherThanHalt(
      List<HistoryEvent.ReleaseCommanded> commands, long haltNanos) {
    return commands.stream()
        .filter(command -> command.atNanos() > haltNanos && !command.command().equals(HALT))
        .mapToLong(HistoryEvent.ReleaseCommanded::atNanos)
        .min()
        .orElse(Long.MAX_VALUE);
  }

  private void checkHalt(HistoryIndex history, long haltNanos, long untilNanos) {
    for (HistoryEvent.VariantChangeStarted change :
        history.events(HistoryEvent.VariantChangeStarted.class)) {
      boolean whileHalted = change.atNanos() > haltNanos && change.atNanos() < untilNanos;
      if (change.toReleased() && whileHalted) {
        long delayNanos = history.elapsedNanos(haltNanos, change.atNanos());
        recordDuration(delayNanos);
        check(
            delayNanos <= history.bounds().rollout().haltDelayNanos(),
            change.atNanos(),
            "",
            "",
            change.instanceId() + " was taken out " + millis(delayNanos) + " after a halt");
      }
    }
  }
}
