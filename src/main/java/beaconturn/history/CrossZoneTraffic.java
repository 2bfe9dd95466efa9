package beaconturn.history;

import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Statistics of traffic between zones, as seen by cache servers. Reports print them; no invariant
 * bounds them.
 *
 * @param remoteShare share of first attempts that went to another zone than their router's
 * @param remoteShareBeforeFaults the same share up to the first fault
 * @param busiestZone zone with the highest load in a second; empty without load
 * @param peakLoad highest load of that zone in a second, as a multiple of its capacity
 * @param originFetches fetches and writes that reached the origin
 * @param firstPlanDelayNanos time from the first fault to the first plan after it; -1 without a
 *     plan
 * @param recoveryPlanDelayNanos time from the end of the last fault to the last plan; -1 without a
 *     plan
 * @param localShares for each zone, by second of the history's clock, the share of its first
 *     attempts that stayed in the zone
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

  /** Counts of first attempts and of those that left their zone. */
  private static final class RemoteCounts {
    private final RemoteShare all = new RemoteShare();
    private final RemoteShare beforeFaults = new RemoteShare();
    private final SortedMap<String, SortedMap<Long, RemoteShare>> bySecond = new TreeMap<>();

    private void add(String home, long atNanos, boolean remote, boolean isBeforeFaults) {
      all.add(remote);
      if (isBeforeFaults) {
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
            SortedMap<Long, Double> zoneShares = new TreeMap<>();
            seconds.forEach((second, remote) -> zoneShares.put(second, 1 - remote.value()));
            shares.put(zone, zoneShares);
          });
      return shares;
    }
  }

  /** Computes the statistics of a history whose bounds include zones. */
  public static CrossZoneTraffic of(InvariantBounds bounds, List<HistoryEvent> events) {
    HistoryIndex history = new HistoryIndex(bounds, events);
    ZoneTraffic traffic = new ZoneTraffic(history);
    long firstFaultNanos = firstFaultNanos(history);
    RemoteCounts counts = new RemoteCounts();
    for (HistoryEvent.AttemptArrived attempt : traffic.firstAttempts()) {
      String home = bounds.zones().routerZones().get(attempt.router());
      boolean remote = !home.equals(traffic.zoneOf(attempt.server()));
      long atNanos = attempt.earliestNanos();
      counts.add(home, atNanos, remote, atNanos < firstFaultNanos);
    }
    SortedMap<String, Double> peakLoads = peakLoads(traffic);
    String busiestZone = busiestZone(peakLoads);
    return new CrossZoneTraffic(
        counts.all.value(),
        counts.beforeFaults.value(),
        busiestZone,
        peakLoads.getOrDefault(busiestZone, 0.0),
        history.events(HistoryEvent.OriginFetched.class).size(),
        firstPlanDelayNanos(history, firstFaultNanos),
        recoveryPlanDelayNanos(history),
        counts.localShares());
  }

  private static long firstFaultNanos(HistoryIndex history) {
    List<HistoryEvent.FaultChanged> faults = history.events(HistoryEvent.FaultChanged.class);
    return faults.isEmpty() ? Long.MAX_VALUE : faults.get(0).atNanos();
  }

  private static SortedMap<String, Double> peakLoads(ZoneTraffic traffic) {
    SortedMap<String, Double> peakLoads = new TreeMap<>();
    traffic
        .loadBySecond()
        .forEach(
            (zone, loads) ->
                peakLoads.put(
                    zone, loads.values().stream().mapToDouble(load -> load).max().orElse(0)));
    return peakLoads;
  }

  /**
   * Returns the zone with the highest load, the alphabetically first of equals; empty without load.
   */
  private static String busiestZone(SortedMap<String, Double> peakLoads) {
    String busiestZone = "";
    double highestLoad = 0;
    for (Map.Entry<String, Double> peak : peakLoads.entrySet()) {
      if (peak.getValue() > highestLoad) {
        busiestZone = peak.getKey();
        highestLoad = peak.getValue();
      }
    }
    return busiestZone;
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
