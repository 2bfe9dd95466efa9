package beaconturn.zones;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Locale;

/** Compares the configured regions of zones with the response times that routers measure. */
public final class RegionDistanceCheck {
  /** Number of successful attempts required for a comparison. */
  private static final long MIN_RESPONSES = 50;

  /**
   * Ratio of response times above which a measurement contradicts the regions. Response times also
   * depend on the load of the cache servers.
   */
  private static final double CONTRADICTION_FACTOR = 1.5;

  private static final double MILLI_MICROS = 1000;

  private RegionDistanceCheck() {}

  /**
   * Returns a warning for each pair of zones in different regions where the zone preferred for
   * failover responds clearly slower to a home zone's routers than the other zone.
   */
  public static List<String> warnings(ZoneTopology topology, Collection<ZoneReport> reports) {
    List<String> warnings = new ArrayList<>();
    for (String home : topology.zones()) {
      List<String> others = topology.othersByDistance(home);
      for (int i = 0; i < others.size(); i++) {
        for (String farther : others.subList(i + 1, others.size())) {
          addWarning(warnings, topology, reports, home, others.get(i), farther);
        }
      }
    }
    return warnings;
  }

  private static void addWarning(
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

  /** Returns the mean response time in microseconds; 0 if there are too few successful attempts. */
  private static double meanMicros(String home, String zone, Collection<ZoneReport> reports) {
    long responses = 0;
    long micros = 0;
    for (ZoneReport report : reports) {
      if (report.homeZone().equals(home)) {
        ZoneObservations observations = report.zones().getOrDefault(zone, ZoneObservations.NONE);
        responses += observations.successfulAttempts();
        micros += observations.successMicros();
      }
    }
    return responses < MIN_RESPONSES ? 0 : micros / (double) responses;
  }
}
