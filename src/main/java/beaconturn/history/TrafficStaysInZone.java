package beaconturn.history;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Checks that traffic stays in its zone without faults, and returns to it within the recovery time
 * after a fault.
 */
final class TrafficStaysInZone extends ZoneInvariant {
  private static final long NANOS_PER_SECOND = 1_000_000_000;
  private static final long WINDOW_NANOS = 5 * NANOS_PER_SECOND;
  private static final long DEMAND_WINDOW_NANOS = 2 * NANOS_PER_SECOND;

  /**
   * Share of the capacity of a zone without one of its servers; higher demand counts as a fault.
   */
  private static final double HIGH_DEMAND_SHARE = 0.8;

  /** Tolerance for random variation: standard deviations plus a number of attempts. */
  private static final double TOLERANCE_STANDARD_DEVIATIONS = 4;

  private static final double TOLERANCE_ATTEMPTS = 2;

  /** Demand on a zone in one window. */
  private record DemandWindow(long startNanos, String zone) {}

  TrafficStaysInZone() {
    super("kept-near", "traffic stays in its place while that can carry it");
  }

  @Override
  void evaluate(HistoryIndex history, ZoneBounds bounds, ZoneTraffic traffic) {
    List<HistoryEvent.AttemptArrived> attempts = traffic.firstAttempts();
    Set<Long> highDemandStarts = highDemandWindowStarts(bounds, traffic, attempts);
    SortedMap<Long, RemoteShare> windows = new TreeMap<>();
    for (HistoryEvent.AttemptArrived attempt : attempts) {
      long atNanos = attempt.earliestNanos();
      boolean duringHighDemand =
          highDemandStarts.stream()
              .anyMatch(
                  windowStartNanos ->
                      atNanos >= windowStartNanos
                          && atNanos
                              <= windowStartNanos + DEMAND_WINDOW_NANOS + bounds.recoveryNanos());
      if (!duringHighDemand && isFaultFree(history, atNanos, bounds.recoveryNanos())) {
        String home = bounds.routerZones().get(attempt.router());
        windows
            .computeIfAbsent(atNanos / WINDOW_NANOS, window -> new RemoteShare())
            .add(!traffic.zoneOf(attempt.server()).equals(home));
      }
    }
    windows.forEach(
        (window, share) -> checkWindow(bounds.trialShare(), window * WINDOW_NANOS, share));
  }

  private void checkWindow(double trialShare, long startNanos, RemoteShare share) {
    double attempts = share.attempts();
    double allowed =
        trialShare
            + TOLERANCE_STANDARD_DEVIATIONS * Math.sqrt(trialShare / attempts)
            + TOLERANCE_ATTEMPTS / attempts;
    check(
        share.value() <= allowed,
        startNanos,
        "",
        "",
        share.remote()
            + " of "
            + share.attempts()
            + " first sends of five seconds went to other places, though all could"
            + " be served near");
  }

  /** Returns the start times of the windows in which the demand on a zone is high. */
  private static Set<Long> highDemandWindowStarts(
      ZoneBounds bounds, ZoneTraffic traffic, List<HistoryEvent.AttemptArrived> attempts) {
    Map<DemandWindow, Long> demand = new HashMap<>();
    Set<Long> windowStarts = new TreeSet<>();
    for (HistoryEvent.AttemptArrived attempt : attempts) {
      String home = bounds.routerZones().get(attempt.router());
      long windowStartNanos = attempt.earliestNanos() / DEMAND_WINDOW_NANOS * DEMAND_WINDOW_NANOS;
      long count = demand.merge(new DemandWindow(windowStartNanos, home), 1L, Long::sum);
      long remainingServers = Math.max(1, traffic.serversIn(home) - 1);
      double threshold =
          HIGH_DEMAND_SHARE
              * bounds.serverRequestsPerSecond()
              * remainingServers
              * DEMAND_WINDOW_NANOS
              / NANOS_PER_SECOND;
      if (count > threshold) {
        windowStarts.add(windowStartNanos);
      }
    }
    return windowStarts;
  }

  /** Returns whether no fault is active, or was active within the recovery time. */
  private static boolean isFaultFree(HistoryIndex history, long atNanos, long recoveryNanos) {
    int activeFaults = 0;
    long lastChangeNanos = Long.MIN_VALUE / 2;
    for (HistoryEvent.FaultChanged fault : history.events(HistoryEvent.FaultChanged.class)) {
      if (fault.atNanos() <= atNanos) {
        activeFaults += fault.active() ? 1 : -1;
        lastChangeNanos = fault.atNanos();
      }
    }
    return activeFaults <= 0 && atNanos - lastChangeNanos > recoveryNanos;
  }
}
