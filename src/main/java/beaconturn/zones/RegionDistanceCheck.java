package beaconturn.zones;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Locale;

/** Whether the regions that operators name agree with the times that routers measure. */
public final class RegionDistanceCheck {
  /** So many good answers tell how far a place is. */
  private static final long ENOUGH = 50;

  /** Answers differ by more than the way: only what is so many times as long is a contradiction. */
  private static final double LONGER = 1.5;

  private static final double MILLI = 1000;

  private RegionDistanceCheck() {}

  /**
   * For each place what its routers measure against the order in which its keys go on: a place that
   * is named before another and takes clearly longer. In words, empty where nothing is wrong.
   */
  public static List<String> doubts(ZoneTopology map, Collection<ZoneReport> reports) {
    List<String> doubts = new ArrayList<>();
    for (String home : map.places()) {
      List<String> others = map.others(home);
      for (int i = 0; i < others.size(); i++) {
        for (String farther : others.subList(i + 1, others.size())) {
          String nearer = others.get(i);
          double named = micros(home, nearer, reports);
          double other = micros(home, farther, reports);
          if (!map.regions().get(nearer).equals(map.regions().get(farther))
              && other > 0
              && named > LONGER * other) {
            doubts.add(
                String.format(
                    Locale.ROOT,
                    "from %s, %s of region %s takes %.1f ms and"
                        + " %s of region %s %.1f ms: are the regions right?",
                    home,
                    nearer,
                    map.regions().get(nearer),
                    named / MILLI,
                    farther,
                    map.regions().get(farther),
                    other / MILLI));
          }
        }
      }
    }
    return doubts;
  }

  /** What good answers took the routers of one place from another; 0 where too few are known. */
  private static double micros(String home, String place, Collection<ZoneReport> reports) {
    long good = 0;
    long took = 0;
    for (ZoneReport report : reports) {
      ZoneObservations seen = report.places().getOrDefault(place, ZoneObservations.NONE);
      good += report.home().equals(home) ? seen.good() : 0;
      took += report.home().equals(home) ? seen.micros() : 0;
    }
    return good < ENOUGH ? 0 : took / (double) good;
  }
}
