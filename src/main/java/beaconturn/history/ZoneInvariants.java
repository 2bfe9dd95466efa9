package beaconturn.history;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;

/** What the rules on places look at: sends by second, the place of each cache server, and plans. */
final class ZoneInvariants {
  private static final long SECOND = 1_000_000_000;

  private ZoneInvariants() {}

  /** A rule that has something to judge only where places are decided on in common. */
  private abstract static class OfPlaces extends Invariant {
    OfPlaces(String name, String promise) {
      super(name, promise);
    }

    /** By what is promised, and the place of each cache server. */
    abstract void judge(
        HistoryIndex evidence, InvariantBounds.Zones terms, Map<String, String> places);

    @Override
    final void judge(HistoryIndex evidence) {
      if (evidence.terms().zones() != null && evidence.terms().zones().decided()) {
        judge(evidence, evidence.terms().zones(), places(evidence));
      }
    }
  }

  /** The place of each cache server. */
  static Map<String, String> places(HistoryIndex evidence) {
    Map<String, String> places = new HashMap<>();
    evidence.all(HistoryEvent.Started.class).forEach(s -> places.put(s.server(), s.zone()));
    return places;
  }

  /** What all together send to each place in each second, as a multiple of what it can do. */
  static Map<String, SortedMap<Long, Double>> loads(
      HistoryIndex evidence, Map<String, String> places) {
    Map<String, Double> can = new HashMap<>();
    Set<String> counted = new HashSet<>();
    for (HistoryEvent.Started s : evidence.all(HistoryEvent.Started.class)) {
      if (counted.add(s.server())) {
        can.merge(s.zone(), s.capacity(), Double::sum);
      }
    }
    Map<String, SortedMap<Long, Double>> loads = new TreeMap<>();
    for (HistoryEvent.Sent sent : evidence.all(HistoryEvent.Sent.class)) {
      String place = places.get(sent.server());
      loads
          .computeIfAbsent(place, p -> new TreeMap<>())
          .merge(sent.at() / SECOND, sent.work() / (can.get(place) * SECOND), Double::sum);
    }
    return loads;
  }

  /**
   * The first send of each request, in the order of time, as retries go where the first did not.
   */
  static List<HistoryEvent.Sent> firsts(HistoryIndex evidence) {
    List<HistoryEvent.Sent> all = new ArrayList<>();
    evidence.cases().forEach(one -> one.sends().stream().limit(1).forEach(all::add));
    all.sort((a, b) -> Long.compare(a.firstAt(), b.firstAt()));
    return all;
  }

  /** Traffic stays near while nothing is wrong, and is back near some time after. */
  static final class KeptNear extends OfPlaces {
    private static final long OVER = 2 * SECOND;
    private static final double MUCH = 0.8;

    KeptNear() {
      super("kept-near", "traffic stays in its place while that can carry it");
    }

    @Override
    void judge(HistoryIndex evidence, InvariantBounds.Zones terms, Map<String, String> places) {
      SortedMap<Long, int[]> seconds = new TreeMap<>();
      List<HistoryEvent.Sent> firsts = firsts(evidence);
      List<Long> much = much(terms, places, firsts);
      for (HistoryEvent.Sent sent : firsts) {
        boolean wanted =
            much.stream()
                .anyMatch(
                    at -> sent.firstAt() >= at && sent.firstAt() <= at + OVER + terms.backWithin());
        if (!wanted && calm(evidence, sent.firstAt(), terms.backWithin())) {
          int[] count = seconds.computeIfAbsent(sent.firstAt() / (5 * SECOND), s -> new int[2]);
          count[places.get(sent.server()).equals(terms.homes().get(sent.router())) ? 0 : 1]++;
        }
      }
      seconds.forEach(
          (second, count) -> {
            double all = count[0] + count[1];
            double least = terms.trial() + 4 * Math.sqrt(terms.trial() / all) + 2 / all;
            check(
                count[1] / all <= least,
                second * 5 * SECOND,
                "",
                "",
                count[1]
                    + " of "
                    + (int) all
                    + " first sends of five seconds went to other places, though all could"
                    + " be served near");
          });
    }

    /** Begins of spells in which more is wanted of a place than it carries, by a good part. */
    private static List<Long> much(
        InvariantBounds.Zones terms, Map<String, String> places, List<HistoryEvent.Sent> firsts) {
      Map<String, Long> servers = new HashMap<>();
      places.values().forEach(place -> servers.merge(place, 1L, Long::sum));
      Map<String, Long> wanted = new TreeMap<>();
      List<Long> begins = new ArrayList<>();
      for (HistoryEvent.Sent sent : firsts) {
        String home = terms.homes().get(sent.router());
        long begin = sent.firstAt() / OVER * OVER;
        long count = wanted.merge(begin + " " + home, 1L, Long::sum);
        long spared = Math.max(1, servers.getOrDefault(home, 0L) - 1);
        if (count > MUCH * terms.each() * spared * OVER / SECOND) {
          begins.add(begin);
        }
      }
      return begins.stream().distinct().toList();
    }

    private static boolean calm(HistoryIndex evidence, long at, long within) {
      int on = 0;
      long since = Long.MIN_VALUE / 2;
      for (HistoryEvent.Troubled t : evidence.all(HistoryEvent.Troubled.class)) {
        if (t.at() <= at) {
          on += t.on() ? 1 : -1;
          since = t.at();
        }
      }
      return on <= 0 && at - since > within;
    }
  }

  /** No place is sent more by all together than its cache servers can do, but for a moment. */
  static final class NoStampede extends OfPlaces {
    NoStampede() {
      super("no-stampede", "no place is sent more than a stated multiple of what it can do");
    }

    @Override
    void judge(HistoryIndex evidence, InvariantBounds.Zones terms, Map<String, String> places) {
      loads(evidence, places)
          .forEach(
              (place, seconds) ->
                  seconds.forEach(
                      (second, load) ->
                          check(
                              load <= terms.peak(),
                              second * SECOND,
                              "",
                              place,
                              "sent "
                                  + Math.round(100 * load) / 100.0
                                  + " times what its cache servers can do in a second")));
    }
  }

  /** Each router sends by a plan that stands, or did within the stated time. */
  static final class OneDecision extends OfPlaces {
    OneDecision() {
      super("one-decision", "nobody sends by an older decision beyond the stated time");
    }

    @Override
    void judge(HistoryIndex evidence, InvariantBounds.Zones terms, Map<String, String> places) {
      List<HistoryEvent.Planned> plans = evidence.all(HistoryEvent.Planned.class);
      Map<String, int[]> counts = new TreeMap<>();
      Map<String, Double> allowed = new TreeMap<>();
      for (HistoryEvent.Sent sent : firsts(evidence)) {
        String home = terms.homes().get(sent.router());
        String place = places.get(sent.server());
        for (String other : terms.homes().stream().distinct().toList()) {
          if (other.equals(home)) {
            continue;
          }
          String key = sent.firstAt() / (2 * SECOND) + " " + sent.router() + " " + other;
          int[] count = counts.computeIfAbsent(key, k -> new int[2]);
          count[other.equals(place) ? 1 : 0]++;
          allowed.merge(key, allotted(evidence, plans, home, other, sent.firstAt()), Math::max);
        }
      }
      counts.forEach(
          (key, count) -> {
            double all = count[0] + count[1];
            double most = allowed.get(key);
            double bound = most + 5 * Math.sqrt(most * (1 - most) / all) + 3 / all;
            String[] words = key.split(" ");
            check(
                count[1] / all <= bound,
                Long.parseLong(words[0]) * 2 * SECOND,
                "",
                words[2],
                "router "
                    + words[1]
                    + " sent "
                    + count[1]
                    + " of "
                    + (int) all
                    + " there, where plans of the stated time"
                    + " allot "
                    + Math.round(1000 * most)
                    + " of 1000");
          });
    }

    /** The most that a plan allots which stands, or stood within the stated time. */
    private static double allotted(
        HistoryIndex evidence,
        List<HistoryEvent.Planned> plans,
        String home,
        String place,
        long at) {
      long from = at - evidence.terms().stated() - evidence.terms().sendSlack();
      // A trial, and what every plan leaves to who has no lease.
      double most = 0.05;
      for (int i = 0; i < plans.size(); i++) {
        long until = i + 1 < plans.size() ? plans.get(i + 1).at() : Long.MAX_VALUE;
        if (plans.get(i).at() <= at && until >= from) {
          int part = plans.get(i).rows().getOrDefault(home, Map.of()).getOrDefault(place, 0);
          // Where much is allotted, what the own place has no room for may go there too.
          most = Math.max(most, part > 50 ? 1 : part / 1000.0);
        }
      }
      return most;
    }
  }
}
