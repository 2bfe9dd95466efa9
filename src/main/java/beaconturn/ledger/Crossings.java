package beaconturn.ledger;

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
public record Crossings(
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
  public static Crossings of(Terms terms, List<Entry> entries) {
    Evidence evidence = new Evidence(terms, entries);
    Map<String, String> places = PlaceRules.places(evidence);
    List<Entry.Troubled> troubles = evidence.all(Entry.Troubled.class);
    long first = troubles.isEmpty() ? Long.MAX_VALUE : troubles.get(0).at();
    List<Entry.Sent> sends = PlaceRules.firsts(evidence);
    SortedMap<String, SortedMap<Long, List<Boolean>>> stayed = new TreeMap<>();
    List<Boolean> all = new ArrayList<>();
    List<Boolean> calm = new ArrayList<>();
    for (Entry.Sent sent : sends) {
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
    Map<String, SortedMap<Long, Double>> loads = PlaceRules.loads(evidence, places);
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
    return new Crossings(
        away(all),
        away(calm),
        busiest,
        peak,
        evidence.all(Entry.Fetched.class).size(),
        decidedAfter(evidence, first),
        backAfter(evidence),
        near);
  }

  private static double away(List<Boolean> near) {
    return near.isEmpty() ? 0 : near.stream().filter(n -> !n).count() / (double) near.size();
  }

  private static long decidedAfter(Evidence evidence, long trouble) {
    return evidence.all(Entry.Planned.class).stream()
        .mapToLong(Entry.Planned::at)
        .filter(at -> at > trouble)
        .map(at -> at - trouble)
        .min()
        .orElse(-1);
  }

  private static long backAfter(Evidence evidence) {
    long over =
        evidence.all(Entry.Troubled.class).stream()
            .filter(t -> !t.on())
            .mapToLong(Entry.Troubled::at)
            .max()
            .orElse(Long.MAX_VALUE);
    return evidence.all(Entry.Planned.class).stream()
        .mapToLong(Entry.Planned::at)
        .filter(at -> at > over)
        .map(at -> at - over)
        .max()
        .orElse(-1);
  }
}
