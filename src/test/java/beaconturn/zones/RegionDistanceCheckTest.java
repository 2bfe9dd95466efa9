package beaconturn.zones;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

class RegionDistanceCheckTest {
  private static final ZoneTopology TOPOLOGY =
      new ZoneTopology(new TreeMap<>(Map.of("a", "one", "b", "one", "c", "two")), 100, 1e6, 50);

  /** A report from zone a with the number of successes in b and c and their mean response times. */
  private static ZoneReport report(
      long successesB, double millisB, long successesC, double millisC) {
    return new ZoneReport(
        "r/1",
        "a",
        1,
        0,
        1000,
        new TreeMap<>(
            Map.of(
                "b",
                new ZoneObservations(successesB, 0, (long) (successesB * millisB * 1000), 4, 4, 0),
                "c",
                new ZoneObservations(
                    successesC, 0, (long) (successesC * millisC * 1000), 4, 4, 0))));
  }

  @Test
  void warnsIfZoneOfSameRegionRespondsSlowerThanZoneOfOther() {
    assertEquals(
        List.of(
            "from a, b of region one takes 40.0 ms and c of region two 20.0 ms: are the"
                + " regions right?"),
        RegionDistanceCheck.warnings(TOPOLOGY, List.of(report(60, 40, 60, 20))));
    assertEquals(
        List.of(),
        RegionDistanceCheck.warnings(TOPOLOGY, List.of(report(60, 25, 60, 20))),
        "a small difference is no contradiction");
    assertEquals(
        List.of(), RegionDistanceCheck.warnings(TOPOLOGY, List.of(report(60, 20, 60, 40))));
    assertEquals(
        List.of(),
        RegionDistanceCheck.warnings(TOPOLOGY, List.of(report(60, 40, 10, 20))),
        "there are too few successes");
    ZoneReport half = report(30, 40, 30, 20);
    assertEquals(
        1,
        RegionDistanceCheck.warnings(TOPOLOGY, List.of(half, half)).size(),
        "the successes of two routers are added up");
  }
}
