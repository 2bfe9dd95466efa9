package beaconturn.history;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Times in which the machine did not run the rehearsal.
 *
 * @param pauses the pauses in the order of time; overlapping ones are merged
 */
record MachinePauses(List<HistoryEvent.MachinePaused> pauses) {
  /** Collects the pauses of a history. */
  static MachinePauses of(List<HistoryEvent> events) {
    List<HistoryEvent.MachinePaused> sorted =
        events.stream()
            .filter(event -> event instanceof HistoryEvent.MachinePaused)
            .map(event -> (HistoryEvent.MachinePaused) event)
            .sorted(Comparator.comparingLong(HistoryEvent.MachinePaused::atNanos))
            .toList();
    List<HistoryEvent.MachinePaused> merged = new ArrayList<>();
    for (HistoryEvent.MachinePaused pause : sorted) {
      int last = merged.size() - 1;
      if (last >= 0 && merged.get(last).untilNanos() >= pause.atNanos()) {
        merged.set(last, union(merged.get(last), pause));
      } else {
        merged.add(pause);
      }
    }
    return new MachinePauses(merged);
  }

  private static HistoryEvent.MachinePaused union(
      HistoryEvent.MachinePaused first, HistoryEvent.MachinePaused second) {
    return new HistoryEvent.MachinePaused(
        first.atNanos(), Math.max(first.untilNanos(), second.untilNanos()));
  }

  long totalNanos() {
    return pauses.stream().mapToLong(pause -> pause.untilNanos() - pause.atNanos()).sum();
  }

  /** Returns the time between two times, without the pauses. */
  long elapsedNanos(long fromNanos, long toNanos) {
    long pausedNanos = 0;
    for (HistoryEvent.MachinePaused pause : pauses) {
      long startNanos = Math.max(fromNanos, pause.atNanos());
      long endNanos = Math.min(toNanos, pause.untilNanos());
      pausedNanos += Math.max(0, endNanos - startNanos);
    }
    return toNanos - fromNanos - pausedNanos;
  }
}
