package beaconturn.history;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;

/** Traffic stays in its zone while there is no fault, and returns to it some time after. */
final class TrafficStaysInZone extends ZoneInvariant {
  private static final long NANOS_PER_SECOND = 1_000_000_000;
  private static final long WINDOW_NANOS = 5 * NANOS_PER_SECOND;
  private static final long DEMAND_WINDOW_NANOS = 2 * NANOS_PER_SECOND;

  /** From this part of a zone's capacity on, with one server gone, demand counts as a fault. */
  private static final double HIGH_DEMAND = 0.8;

  /** Allowance for chance: so many standard deviations, and so many attempts. */
  private static final double DEVIATIONS = 4;

  private static final double SPARE_ATTEMPTS = 2;

  /** Demand on a zone in one window. */
  private record DemandWindow(long beginNanos, String zone) {}

  TrafficStaysInZone() {
    super("kept-near", "traffic stays in its place while that can carry it");
  }

  @Override
  void evaluate(HistoryIndex history, ZoneBounds bounds, ZoneSendHistory traffic) {
    List<HistoryEvent.AttemptArrived> attempts = traffic.firstAttempts();
    Set<Long> highDemand = beginsOfHighDemand(bounds, traffic, attempts);
    SortedMap<Long, RemoteShare> windows = new TreeMap<>();
    for (HistoryEvent.AttemptArrived attempt : attempts) {
      long atNanos = attempt.earliestNanos();
      boolean demanded =
          highDemand.stream()
              .anyMatch(
                  begin ->
                      atNanos >= begin
                          && atNanos <= begin + DEMAND_WINDOW_NANOS + bounds.recoveryNanos());
      if (!demanded && isCalm(history, atNanos, bounds.recoveryNanos())) {
        String home = bounds.routerZones().get(attempt.router());
        windows
            .computeIfAbsent(atNanos / WINDOW_NANOS, window -> new RemoteShare())
            .add(!traffic.zoneOf(attempt.server()).equals(home));
      }
    }
    windows.forEach(
        (window, share) -> checkWindow(bounds.trialShare(), window * WINDOW_NANOS, share));
  }

  private void checkWindow(double trialShare, long beginNanos, RemoteShare share) {
    double attempts = share.attempts();
    double allowed =
        trialShare + DEVIATIONS * Math.sqrt(trialShare / attempts) + SPARE_ATTEMPTS / attempts;
    check(
        share.value() <= allowed,
        beginNanos,
        "",
        "",
        share.remote()
            + " of "
            + share.attempts()
            + " first sends of five seconds went to other places, though all could"
            + " be served near");
  }

  /** Begins of windows in which a zone has more demand than it carries by a good part. */
  private static Set<Long> beginsOfHighDemand(
      ZoneBounds bounds, ZoneSendHistory traffic, List<HistoryEvent.AttemptArrived> attempts) {
    Map<DemandWindow, Long> demand = new HashMap<>();
    Set<Long> begins = new TreeSet<>();
    for (HistoryEvent.AttemptArrived attempt : attempts) {
      String home = bounds.routerZones().get(attempt.router());
      long begin = attempt.earliestNanos() / DEMAND_WINDOW_NANOS * DEMAND_WINDOW_NANOS;
      long count = demand.merge(new DemandWindow(begin, home), 1L, Long::sum);
      long remainingServers = Math.max(1, traffic.serversIn(home) - 1);
      double carried =
          HIGH_DEMAND
              * bounds.serverRequestsPerSecond()
              * remainingServers
              * DEMAND_WINDOW_NANOS
              / NANOS_PER_SECOND;
      if (count > carried) {
        begins.add(begin);
      }
    }
    return begins;
  }

  /** Whether no fault is active, nor was within the time of recovery. */
  private static boolean isCalm(HistoryIndex history, long atNanos, long recoveryNanos) {
    int active = 0;
    long changedNanos = Long.MIN_VALUE / 2;
    for (HistoryEvent.FaultChanged fault : history.events(HistoryEvent.FaultChanged.class)) {
      if (fault.atNanos() <= atNanos) {
        active += fault.active() ? 1 : -1;
        changedNanos = fault.atNanos();
      }
    }
    return active <= 0 && atNanos - changedNanos > recoveryNanos;
  }
}
