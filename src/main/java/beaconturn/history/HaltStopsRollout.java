package beaconturn.history;

import java.util.List;

/**
 * After a halt no instance is changed beyond the stated time, until an operator resumes the release
 * or rolls it back.
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
        // One chance for the halt itself, so that it counts where nothing came after it.
        countHeld();
        checkHalt(history, command.atNanos(), nextOtherCommand(commands, command.atNanos()));
      }
    }
  }

  private static long nextOtherCommand(
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
        long lateNanos = history.elapsedNanos(haltNanos, change.atNanos());
        observe(lateNanos);
        check(
            lateNanos <= history.bounds().rollout().haltWithinNanos(),
            change.atNanos(),
            "",
            "",
            change.instanceId() + " was taken out " + millis(lateNanos) + " after a halt");
      }
    }
  }
}
