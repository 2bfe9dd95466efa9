package beaconturn.history;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Checks that all routers together do not overload a server that is warming up until it collapses.
 */
final class SlowStartLimit extends Invariant {
  private static final double TENTHS = 10.0;

  SlowStartLimit() {
    super("cold-kept", "no freshly started server is pushed over");
  }

  @Override
  void evaluate(HistoryIndex history) {
    Map<String, List<HistoryEvent.AttemptArrived>> attemptsByServer = new HashMap<>();
    for (HistoryEvent.AttemptArrived attempt : history.events(HistoryEvent.AttemptArrived.class)) {
      attemptsByServer.computeIfAbsent(attempt.server(), s -> new ArrayList<>()).add(attempt);
    }
    for (HistoryEvent.CacheServerStarted start :
        history.events(HistoryEvent.CacheServerStarted.class)) {
      if (start.startNanos() > 0) {
        checkWarmUp(
            history.bounds(), start, attemptsByServer.getOrDefault(start.server(), List.of()));
      }
    }
    for (HistoryEvent.ServerCollapsed collapse :
        history.events(HistoryEvent.ServerCollapsed.class)) {
      if (!collapse.server().equals("origin")) {
        check(false, collapse.atNanos(), "", collapse.server(), "collapsed under its load");
      }
    }
  }

  /** Checks each window that ends with an attempt, until the server is warm. */
  private void checkWarmUp(
      InvariantBounds bounds,
      HistoryEvent.CacheServerStarted start,
      List<HistoryEvent.AttemptArrived> attempts) {
    long warmNanos = start.startNanos() + bounds.warmUpNanos();
    Deque<HistoryEvent.AttemptArrived> window = new ArrayDeque<>();
    long windowWorkNanos = 0;
    for (HistoryEvent.AttemptArrived attempt : attempts) {
      if (attempt.atNanos() < start.startNanos() || attempt.atNanos() > warmNanos) {
        continue;
      }
      window.add(attempt);
      windowWorkNanos += attempt.workNanos();
      while (window.peek().atNanos() <= attempt.atNanos() - bounds.overloadNanos()) {
        windowWorkNanos -= window.remove().workNanos();
      }
      checkWindow(bounds, start, attempt, windowWorkNanos);
    }
  }

  private void checkWindow(
      InvariantBounds bounds,
      HistoryEvent.CacheServerStarted start,
      HistoryEvent.AttemptArrived last,
      long workNanos) {
    long ageNanos = last.atNanos() - start.startNanos();
    double speedShare =
        bounds.coldSpeedShare()
            + (1 - bounds.coldSpeedShare()) * ageNanos / Math.max(1, bounds.warmUpNanos());
    double capacityNanos = speedShare * start.capacity() * bounds.overloadNanos();
    check(
        workNanos <= bounds.overloadMultiple() * capacityNanos,
        last.atNanos(),
        last.requestId(),
        last.server(),
        "sent "
            + Math.round(TENTHS * workNanos / capacityNanos) / TENTHS
            + " times what it can do "
            + millis(ageNanos)
            + " after its start");
  }
}
