package beaconturn.zones;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Stream;

/**
 * What routers report, pooled. One router counts as one voice of its place, whatever it claims to
 * have seen: one that lies is outvoted, one that is stuck is not heard, one that finds all places
 * bad while its neighbours do not is itself what is broken.
 */
final class EvidenceAggregator {
  /** So many attempts of a window at least tell something. */
  private static final long FEWEST = 4;

  private static final double MOST_BAD = 0.5;
  private final ZoneTopology map;

  /** What is compared is what came since about so long ago. */
  private final long window;

  /** A report that has not grown for so long is not heard. */
  private final long stale;

  /** One that is not heard counts for so long, where others of its place are. */
  private final long longest;

  /** One whose report is gone sooner than so after it grew has left. */
  private final long left;

  private final SortedMap<String, Voice> voices = new TreeMap<>();

  /** Each router by its name, as it was heard last; it may serve on, cut off. */
  private final SortedMap<String, Voice> latest = new TreeMap<>();

  private final SortedMap<String, SortedMap<String, ZoneHealth>> ways = new TreeMap<>();
  private final SortedMap<String, ZoneHealth> places = new TreeMap<>();
  private final SortedMap<String, String> says = new TreeMap<>();
  private final SortedSet<String> broken = new TreeSet<>();

  /** What one router has told, and what it had told a window ago and two. */
  private static final class Voice {
    private ZoneReport last;
    private long grewAt;
    private ZoneReport older;
    private ZoneReport newer;
    private long newerAt;
    private long olderAt;

    /** Requests a second by what it told last, or less than 0 until it has told twice. */
    private double perSecond = -1;

    private void hears(ZoneReport report, long now, long window) {
      if (last == null || report.number() > last.number()) {
        last = report;
        grewAt = now;
        if (older != null) {
          perSecond = (last.arrivals() - older.arrivals()) * 1e9 / (now - olderAt);
        }
      }
      if (newer == null || now - newerAt >= window) {
        older = newer == null ? last : newer;
        olderAt = newer == null ? grewAt : newerAt;
        newer = last;
        newerAt = grewAt;
      }
    }

    private ZoneObservations seen(String place) {
      ZoneObservations now = last.places().getOrDefault(place, ZoneObservations.NONE);
      return now.since(older.places().getOrDefault(place, ZoneObservations.NONE));
    }

    /** Of the router itself, without the number of its start. */
    private String name() {
      return last.router().split("/")[0];
    }
  }

  EvidenceAggregator(ZoneTopology map, long window, long stale, long longest, long left) {
    this.map = map;
    this.window = window;
    this.stale = stale;
    this.longest = longest;
    this.left = left;
  }

  /** Takes in what stands there now and judges. */
  void hears(Collection<ZoneReport> reports, long now) {
    Set<String> there = new TreeSet<>();
    for (ZoneReport report : reports) {
      if (map.regions().containsKey(report.home())) {
        there.add(report.router());
        voices.computeIfAbsent(report.router(), r -> new Voice()).hears(report, now, window);
      }
    }
    // A report that is gone long before its lease could end was taken back: its router has left.
    voices.values().stream()
        .filter(v -> !there.contains(v.last.router()) && now - v.grewAt < left)
        .forEach(v -> latest.remove(v.name(), v));
    voices.keySet().retainAll(there);
    voices.values().forEach(v -> latest.merge(v.name(), v, (a, b) -> a.grewAt > b.grewAt ? a : b));
    latest.values().removeIf(v -> now - v.grewAt > longest && !heard(v.last.home(), now).isEmpty());
    judge(now);
  }

  private Stream<Voice> growing(long now) {
    return voices.values().stream().filter(v -> now - v.grewAt <= stale);
  }

  private List<Voice> heard(String home, long now) {
    return growing(now)
        .filter(v -> v.last.home().equals(home) && !broken.contains(v.last.router()))
        .toList();
  }

  /** What one router makes of one place. */
  static ZoneHealth view(ZoneObservations seen) {
    if (seen.listed() == 0) {
      return ZoneHealth.NOT_LISTED;
    }
    long all = seen.good() + seen.bad();
    if (all >= FEWEST && seen.bad() > MOST_BAD * all) {
      return ZoneHealth.BROKEN;
    }
    if (seen.good() > seen.bad()) {
      // Also where servers are ejected still: by trials alone they come back late, and answers are
      // newer.
      return ZoneHealth.GOOD;
    }
    // What nobody has tried is not known to be bad: without traffic an ejection only tells what
    // once was.
    return seen.bad() > 0 && 2 * seen.ejected() >= seen.listed()
        ? ZoneHealth.BROKEN
        : ZoneHealth.UNKNOWN;
  }

  private void judge(long now) {
    broken.clear();
    for (Voice voice : voices.values()) {
      if (alone(voice, now)) {
        broken.add(voice.last.router());
      }
    }
    ways.clear();
    for (String home : map.places()) {
      SortedMap<String, ZoneHealth> row = new TreeMap<>();
      List<Voice> heard = heard(home, now);
      if (heard.isEmpty()) {
        // Of a place that is cut off nobody knows what it finds.
        continue;
      }
      for (String place : map.places()) {
        row.put(place, majority(heard.stream().map(v -> view(v.seen(place))).toList()));
      }
      ways.put(home, row);
    }
    places.clear();
    says.clear();
    for (String place : map.places()) {
      places.put(place, judge(place));
    }
  }

  /** Whether a router finds nothing good while most of its neighbours find their own place good. */
  private boolean alone(Voice voice, long now) {
    List<ZoneHealth> own = map.places().stream().map(p -> view(voice.seen(p))).toList();
    List<Voice> neighbours =
        heard(voice.last.home(), now).stream().filter(v -> v != voice).toList();
    long good =
        neighbours.stream().filter(v -> view(v.seen(v.last.home())) == ZoneHealth.GOOD).count();
    return own.contains(ZoneHealth.BROKEN)
        && !own.contains(ZoneHealth.GOOD)
        && good > 0
        && 2 * good >= neighbours.size();
  }

  /**
   * Of those that know something; what is not listed counts only if nobody of them lists it. Where
   * there are three or more, one of them finds nothing bad alone, also if the others have seen
   * nothing.
   */
  private static ZoneHealth majority(List<ZoneHealth> views) {
    if (!views.isEmpty() && views.stream().allMatch(v -> v == ZoneHealth.NOT_LISTED)) {
      return ZoneHealth.NOT_LISTED;
    }
    long bad = views.stream().filter(v -> v == ZoneHealth.BROKEN).count();
    long good = views.stream().filter(v -> v == ZoneHealth.GOOD).count();
    if (bad > good && (bad > 1 || views.size() <= 2)) {
      return ZoneHealth.BROKEN;
    }
    return good > 0 && good >= bad ? ZoneHealth.GOOD : ZoneHealth.UNKNOWN;
  }

  private ZoneHealth judge(String place) {
    List<ZoneHealth> all = new ArrayList<>();
    List<String> bad = new ArrayList<>();
    ways.forEach(
        (home, row) -> {
          all.add(row.get(place));
          if (row.get(place) == ZoneHealth.BROKEN) {
            bad.add(home);
          }
        });
    boolean anyGood = all.contains(ZoneHealth.GOOD);
    if (!all.isEmpty() && all.stream().allMatch(v -> v == ZoneHealth.NOT_LISTED)) {
      return said(place, ZoneHealth.NOT_LISTED, "nobody has it in the list");
    }
    if (!bad.isEmpty() && !anyGood) {
      // Before lists are looked at: those of a place that has gone change here and there by and by.
      return said(place, ZoneHealth.BROKEN, "found bad from " + String.join(", ", bad));
    }
    if (all.contains(ZoneHealth.NOT_LISTED)) {
      return said(place, ZoneHealth.LATE_LIST, "some have it in the list and others do not");
    }
    if (!bad.isEmpty()) {
      return said(place, ZoneHealth.LINK, "found bad from " + String.join(", ", bad) + " alone");
    }
    return said(
        place,
        anyGood ? ZoneHealth.GOOD : ZoneHealth.UNKNOWN,
        anyGood ? "serves" : "too little is seen");
  }

  private ZoneHealth said(String place, ZoneHealth verdict, String words) {
    says.put(place, words);
    return verdict;
  }

  /** What all of them say of a place. */
  ZoneHealth of(String place) {
    return places.getOrDefault(place, ZoneHealth.UNKNOWN);
  }

  /** In words, with its evidence. */
  String says(String place) {
    return says.getOrDefault(place, "nothing is known");
  }

  /**
   * The part of the attempts of a place's own routers that failed there or were late; 0 where none
   * are told.
   */
  double badShare(String place) {
    long good = own(place).mapToLong(ZoneObservations::good).sum();
    long bad = own(place).mapToLong(ZoneObservations::bad).sum();
    return good + bad == 0 ? 0 : bad / (double) (good + bad);
  }

  /**
   * How long good answers took a place's own routers there, in microseconds; 0 where there were
   * none.
   */
  double micros(String place) {
    long good = own(place).mapToLong(ZoneObservations::good).sum();
    return good == 0 ? 0 : own(place).mapToLong(ZoneObservations::micros).sum() / (double) good;
  }

  /** What a place's own routers have lately seen of it. */
  private Stream<ZoneObservations> own(String place) {
    return voices.values().stream()
        .filter(v -> v.last.home().equals(place) && !broken.contains(v.last.router()))
        .map(v -> v.seen(place));
  }

  /** Whether those of one place find another, or their own, bad. */
  boolean bad(String home, String place) {
    return way(home, place) == ZoneHealth.BROKEN;
  }

  /** Whether those of one place find it good. */
  boolean good(String home, String place) {
    return way(home, place) == ZoneHealth.GOOD;
  }

  private ZoneHealth way(String home, String place) {
    return ways.containsKey(home) ? ways.get(home).get(place) : ZoneHealth.UNKNOWN;
  }

  /** Routers that find nothing good while their neighbours do. */
  SortedSet<String> broken() {
    return broken;
  }

  /** Requests a second that the routers of a place take, of those that are heard. */
  double perSecond(String home, long now) {
    return growing(now)
        .filter(v -> v.last.home().equals(home))
        .mapToDouble(v -> Math.max(0, v.perSecond))
        .sum();
  }

  /**
   * Requests a second that those of a place took which are not heard any more: cut off from the
   * store they serve near. Where others of the place are heard it counts for a while only, as who
   * was killed leaves its clients to them; where nobody is, for as long as that is so. One that has
   * told only once counts as the others of its place do.
   */
  double unheardPerSecond(String home, long now) {
    double mean = known(home).mapToDouble(v -> v.perSecond).average().orElse(0);
    return latest.values().stream()
        .filter(v -> v.last.home().equals(home) && now - v.grewAt > stale)
        .mapToDouble(v -> v.perSecond < 0 ? mean : v.perSecond)
        .sum();
  }

  /** Whether any router of a place has ever told how much it takes. */
  boolean knows(String home) {
    return known(home).findAny().isPresent();
  }

  private Stream<Voice> known(String home) {
    return latest.values().stream().filter(v -> v.last.home().equals(home) && v.perSecond >= 0);
  }

  /** Cache servers there that are warm, as most routers of any place have it: the median. */
  int warm(String place, long now) {
    List<Integer> all =
        growing(now)
            .filter(v -> !broken.contains(v.last.router()))
            .map(v -> v.last.places().getOrDefault(place, ZoneObservations.NONE).warm())
            .sorted()
            .toList();
    return all.isEmpty() ? 0 : all.get(all.size() / 2);
  }

  /** Routers that are heard. */
  Collection<ZoneReport> reports(long now) {
    return growing(now).map(v -> v.last).toList();
  }
}
