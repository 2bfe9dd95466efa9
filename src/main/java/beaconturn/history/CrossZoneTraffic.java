package beaconturn.history;

import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * How much traffic left its zone, as cache servers saw it. Figures for reports, which no invariant
 * bounds.
 *
 * @param remoteShare share of first attempts that went to another zone than their router's
 * @param remoteShareBeforeFaults the same up to the first fault
 * @param busiestZone the zone with the highest load in a second
 * @param peakLoad that load, as a multiple of the zone's capacity
 * @param originFetches fetches and writes that reached the origin
 * @param firstPlanDelayNanos from the first fault to the first plan after it; -1 where there was
 *     none
 * @param recoveryPlanDelayNanos from the end of the last fault to the last plan; -1 where there was
 *     none
 * @param localShares for each zone, by second of the history's clock, the share of its first
 *     attempts that stayed there
 */
public record CrossZoneTraffic(
    double remoteShare,
    double remoteShareBeforeFaults,
    String busiestZone,
    double peakLoad,
    long originFetches,
    long firstPlanDelayNanos,
    long recoveryPlanDelayNanos,
    SortedMap<String, SortedMap<Long, Double>> localShares) {
  private static final long NANOS_PER_SECOND = 1_000_000_000;
  private static final long NO_PLAN = -1;

  /** Counts of first attempts, and of those among them that left their zone. */
  private static final class CrossingCounts {
    private final RemoteShare all = new RemoteShare();
    private final RemoteShare beforeFaults = new RemoteShare();
    private final SortedMap<String, SortedMap<Long, RemoteShare>> bySecond = new TreeMap<>();

    private void add(String home, long atNanos, boolean remote, boolean beforeFault) {
      all.add(remote);
      if (beforeFault) {
        beforeFaults.add(remote);
      }
      bySecond
          .computeIfAbsent(home, zone -> new TreeMap<>())
          .computeIfAbsent(atNanos / NANOS_PER_SECOND, second -> new RemoteShare())
          .add(remote);
    }

    private SortedMap<String, SortedMap<Long, Double>> localShares() {
      SortedMap<String, SortedMap<Long, Double>> shares = new TreeMap<>();
      bySecond.forEach(
          (zone, seconds) -> {
            SortedMap<Long, Double> ofZone = new TreeMap<>();
            seconds.forEach((second, remote) -> ofZone.put(second, 1 - remote.value()));
            shares.put(zone, ofZone);
          });
      return shares;
    }
  }

  /** The figures of a history whose bounds have zones. */
  public static CrossZoneTraffic of(InvariantBounds bounds, List<HistoryEvent> events) {
    HistoryIndex history = new HistoryIndex(bounds, events);
    ZoneSendHistory traffic = new ZoneSendHistory(history);
    long firstFaultNanos = firstFaultNanos(history);
    CrossingCounts counts = new CrossingCounts();
    for (HistoryEvent.AttemptArrived attempt : traffic.firstAttempts()) {
      String home = bounds.zones().routerZones().get(attempt.router());
      boolean remote = !home.equals(traffic.zoneOf(attempt.server()));
      long atNanos = attempt.earliestNanos();
      counts.add(home, atNanos, remote, atNanos < firstFaultNanos);
    }
    SortedMap<String, Double> peaks = peakLoads(traffic);
    String busiest = busiestZone(peaks);
    return new CrossZoneTraffic(
        counts.all.value(),
        counts.beforeFaults.value(),
        busiest,
        peaks.getOrDefault(busiest, 0.0),
        history.events(HistoryEvent.OriginFetched.class).size(),
        firstPlanDelayNanos(history, firstFaultNanos),
        recoveryPlanDelayNanos(history),
        counts.localShares());
  }

  private static long firstFaultNanos(HistoryIndex history) {
    List<HistoryEvent.FaultChanged> faults = history.events(HistoryEvent.FaultChanged.class);
    return faults.isEmpty() ? Long.MAX_VALUE : faults.get(0).atNanos();
  }

  private static SortedMap<String, Double> peakLoads(ZoneSendHistory traffic) {
    SortedMap<String, Double> peaks = new TreeMap<>();
    traffic
        .loadBySecond()
        .forEach(
            (zone, loads) ->
                peaks.put(zone, loads.values().stream().mapToDouble(load -> load).max().orElse(0)));
    return peaks;
  }

  /** The zone with the highest load, of equals the first in the alphabet; empty without load. */
  private static String busiestZone(SortedMap<String, Double> peaks) {
    String busiest = "";
    double highest = 0;
    for (Map.Entry<String, Double> peak : peaks.entrySet()) {
      if (peak.getValue() > highest) {
        busiest = peak.getKey();
        highest = peak.getValue();
      }
    }
    return busiest;
  }

  private static long firstPlanDelayNanos(HistoryIndex history, long faultNanos) {
    return history.events(HistoryEvent.ZonePlanInForce.class).stream()
        .mapToLong(HistoryEvent.ZonePlanInForce::atNanos)
        .filter(atNanos -> atNanos > faultNanos)
        .map(atNanos -> atNanos - faultNanos)
        .min()
        .orElse(NO_PLAN);
  }

  private static long recoveryPlanDelayNanos(HistoryIndex history) {
    long lastFaultEndNanos =
        history.events(HistoryEvent.FaultChanged.class).stream()
            .filter(fault -> !fault.active())
            .mapToLong(HistoryEvent.FaultChanged::atNanos)
            .max()
            .orElse(Long.MAX_VALUE);
    return history.events(HistoryEvent.ZonePlanInForce.class).stream()
        .mapToLong(HistoryEvent.ZonePlanInForce::atNanos)
        .filter(atNanos -> atNanos > lastFaultEndNanos)
        .map(atNanos -> atNanos - lastFaultEndNanos)
        .max()
        .orElse(NO_PLAN);
  }
}
