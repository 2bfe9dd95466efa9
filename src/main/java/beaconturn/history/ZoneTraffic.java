package beaconturn.history;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;

/** Computes the traffic of a history by zone. */
final class ZoneTraffic {
  private static final long NANOS_PER_SECOND = 1_000_000_000;
  private final HistoryIndex history;

  private final Map<String, String> serverZones = new HashMap<>();

  ZoneTraffic(HistoryIndex history) {
    this.history = history;
    for (HistoryEvent.CacheServerStarted start :
        history.events(HistoryEvent.CacheServerStarted.class)) {
      serverZones.put(start.server(), start.zone());
    }
  }

  String zoneOf(String server) {
    return serverZones.get(server);
  }

  /** Returns the number of cache servers in a zone. */
  long serversIn(String zone) {
    return serverZones.values().stream().filter(other -> other.equals(zone)).count();
  }

  /** Returns the load of each zone in each second, as a multiple of its capacity. */
  SortedMap<String, SortedMap<Long, Double>> loadBySecond() {
    Map<String, Double> capacity = capacityByZone();
    SortedMap<String, SortedMap<Long, Double>> loads = new TreeMap<>();
    for (HistoryEvent.AttemptArrived attempt : history.events(HistoryEvent.AttemptArrived.class)) {
      String zone = zoneOf(attempt.server());
      double load = attempt.workNanos() / (capacity.get(zone) * NANOS_PER_SECOND);
      loads
          .computeIfAbsent(zone, z -> new TreeMap<>())
          .merge(attempt.atNanos() / NANOS_PER_SECOND, load, Double::sum);
    }
    return loads;
  }

  private Map<String, Double> capacityByZone() {
    Map<String, Double> capacity = new HashMap<>();
    Set<String> counted = new HashSet<>();
    for (HistoryEvent.CacheServerStarted start :
        history.events(HistoryEvent.CacheServerStarted.class)) {
      if (counted.add(start.server())) {
        capacity.merge(start.zone(), start.capacity(), Double::sum);
      }
    }
    return capacity;
  }

  /**
   * Returns the first attempt of each request in the order of time. Retries are left out because
   * they avoid the server of the first attempt.
   */
  List<HistoryEvent.AttemptArrived> firstAttempts() {
    List<HistoryEvent.AttemptArrived> first = new ArrayList<>();
    for (RequestRecord request : history.requests()) {
      if (!request.attempts().isEmpty()) {
        first.add(request.attempts().get(0));
      }
    }
    first.sort(Comparator.comparingLong(HistoryEvent.AttemptArrived::earliestNanos));
    return first;
  }
}
