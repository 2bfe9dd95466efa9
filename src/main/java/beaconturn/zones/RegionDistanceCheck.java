package beaconturn.zones;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Locale;

/** Checks whether the regions that operators name agree with the times that routers measure. */
public final class RegionDistanceCheck {
  /** So many good answers tell how far a zone is. */
  private static final long MIN_ANSWERS = 50;

  /** Answers differ by more than the way: only what is so many times as long is a contradiction. */
  private static final double CONTRADICTION_FACTOR = 1.5;

  private static final double MILLI_MICROS = 1000;

  private RegionDistanceCheck() {}

  /**
   * For each zone what its routers measure against the order in which its keys go on: a zone that
   * is named before another and takes clearly longer. In words, empty where nothing is wrong.
   */
  public static List<String> warnings(ZoneTopology topology, Collection<ZoneReport> reports) {
    List<String> warnings = new ArrayList<>();
    for (String home : topology.zones()) {
      List<String> others = topology.othersByDistance(home);
      for (int i = 0; i < others.size(); i++) {
        for (String farther : others.subList(i + 1, others.size())) {
          addDoubt(warnings, topology, reports, home, others.get(i), farther);
        }
      }
    }
    return warnings;
  }

  private static void addDoubt(
      List<String> warnings,
      ZoneTopology topology,
      Collection<ZoneReport> reports,
      String home,
      String nearer,
      String farther) {
    double nearerMicros = meanMicros(home, nearer, reports);
    double fartherMicros = meanMicros(home, farther, reports);
    String nearerRegion = topology.regions().get(nearer);
    String fartherRegion = topology.regions().get(farther);
    if (!nearerRegion.equals(fartherRegion)
        && fartherMicros > 0
        && nearerMicros > CONTRADICTION_FACTOR * fartherMicros) {
      warnings.add(
          String.format(
              Locale.ROOT,
              "from %s, %s of region %s takes %.1f ms and"
                  + " %s of region %s %.1f ms: are the regions right?",
              home,
              nearer,
              nearerRegion,
              nearerMicros / MILLI_MICROS,
              farther,
              fartherRegion,
              fartherMicros / MILLI_MICROS));
    }
  }

  /** What good answers took the routers of one zone from another; 0 where too few are known. */
  private static double meanMicros(String home, String zone, Collection<ZoneReport> reports) {
    long answers = 0;
    long micros = 0;
    for (ZoneReport report : reports) {
      if (report.homeZone().equals(home)) {
        ZoneObservations seen = report.zones().getOrDefault(zone, ZoneObservations.NONE);
        answers += seen.successfulAttempts();
        micros += seen.successMicros();
      }
    }
    return answers < MIN_ANSWERS ? 0 : micros / (double) answers;
  }
}
