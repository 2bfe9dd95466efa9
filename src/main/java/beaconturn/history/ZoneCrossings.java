package beaconturn.history;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * How far traffic went from its place, as cache servers saw it: figures, and no judgement.
 *
 * @param crossed the part of first sends that went to another place than their router's
 * @param crossedCalm the same up to the first trouble
 * @param busiest the place that was sent most in a second
 * @param peak what that was, as a multiple of what its cache servers can do
 * @param fetches how many fetches and writes reached the origin
 * @param decidedAfter nanoseconds from the first trouble to the first plan; -1 where there was none
 * @param backAfter nanoseconds from the end of the last trouble to the last plan; -1 where there
 *     was none
 * @param near for each place, by second of the account's clock, the part of its first sends that
 *     stayed there
 */
public record ZoneCrossings(
    double crossed,
    double crossedCalm,
    String busiest,
    double peak,
    long fetches,
    long decidedAfter,
    long backAfter,
    SortedMap<String, SortedMap<Long, Double>> near) {
  private static final long SECOND = 1_000_000_000;

  /** Of an account in which routers stand in places. */
  public static ZoneCrossings of(InvariantBounds terms, List<HistoryEvent> entries) {
    HistoryIndex evidence = new HistoryIndex(terms, entries);
    Map<String, String> places = ZoneInvariants.places(evidence);
    List<HistoryEvent.Troubled> troubles = evidence.all(HistoryEvent.Troubled.class);
    long first = troubles.isEmpty() ? Long.MAX_VALUE : troubles.get(0).at();
    List<HistoryEvent.Sent> sends = ZoneInvariants.firsts(evidence);
    SortedMap<String, SortedMap<Long, List<Boolean>>> stayed = new TreeMap<>();
    List<Boolean> all = new ArrayList<>();
    List<Boolean> calm = new ArrayList<>();
    for (HistoryEvent.Sent sent : sends) {
      String home = terms.zones().homes().get(sent.router());
      boolean near = home.equals(places.get(sent.server()));
      all.add(near);
      if (sent.firstAt() < first) {
        calm.add(near);
      }
      stayed
          .computeIfAbsent(home, h -> new TreeMap<>())
          .computeIfAbsent(sent.firstAt() / SECOND, s -> new ArrayList<>())
          .add(near);
    }
    String busiest = "";
    double peak = 0;
    Map<String, SortedMap<Long, Double>> loads = ZoneInvariants.loads(evidence, places);
    for (String place : loads.keySet()) {
      double most = loads.get(place).values().stream().mapToDouble(d -> d).max().orElse(0);
      busiest = most > peak ? place : busiest;
      peak = Math.max(peak, most);
    }
    SortedMap<String, SortedMap<Long, Double>> near = new TreeMap<>();
    stayed.forEach(
        (home, seconds) -> {
          SortedMap<Long, Double> parts = new TreeMap<>();
          seconds.forEach((second, those) -> parts.put(second, 1 - away(those)));
          near.put(home, parts);
        });
    return new ZoneCrossings(
        away(all),
        away(calm),
        busiest,
        peak,
        evidence.all(HistoryEvent.Fetched.class).size(),
        decidedAfter(evidence, first),
        backAfter(evidence),
        near);
  }

  private static double away(List<Boolean> near) {
    return near.isEmpty() ? 0 : near.stream().filter(n -> !n).count() / (double) near.size();
  }

  private static long decidedAfter(HistoryIndex evidence, long trouble) {
    return evidence.all(HistoryEvent.Planned.class).stream()
        .mapToLong(HistoryEvent.Planned::at)
        .filter(at -> at > trouble)
        .map(at -> at - trouble)
        .min()
        .orElse(-1);
  }

  private static long backAfter(HistoryIndex evidence) {
    long over =
        evidence.all(HistoryEvent.Troubled.class).stream()
            .filter(t -> !t.on())
            .mapToLong(HistoryEvent.Troubled::at)
            .max()
            .orElse(Long.MAX_VALUE);
    return evidence.all(HistoryEvent.Planned.class).stream()
        .mapToLong(HistoryEvent.Planned::at)
        .filter(at -> at > over)
        .map(at -> at - over)
        .max()
        .orElse(-1);
  }
}
