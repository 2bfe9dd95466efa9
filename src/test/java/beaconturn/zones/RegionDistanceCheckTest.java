package beaconturn.zones;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

class RegionDistanceCheckTest {
  private static final ZoneTopology MAP =
      new ZoneTopology(new TreeMap<>(Map.of("a", "one", "b", "one", "c", "two")), 100, 1e6, 50);

  /** A router of a, what it had of b and of c, each good answer in so many milliseconds. */
  private static ZoneReport report(long ofB, double msB, long ofC, double msC) {
    return new ZoneReport(
        "r/1",
        "a",
        1,
        0,
        1000,
        new TreeMap<>(
            Map.of(
                "b", new ZoneObservations(ofB, 0, (long) (ofB * msB * 1000), 4, 4, 0),
                "c", new ZoneObservations(ofC, 0, (long) (ofC * msC * 1000), 4, 4, 0))));
  }

  @Test
  void aPlaceOfTheRegionThatTakesLongerThanOneOfAnotherIsTold() {
    assertEquals(
        List.of(
            "from a, b of region one takes 40.0 ms and c of region two 20.0 ms: are the"
                + " regions right?"),
        RegionDistanceCheck.warnings(MAP, List.of(report(60, 40, 60, 20))));
    assertEquals(
        List.of(),
        RegionDistanceCheck.warnings(MAP, List.of(report(60, 25, 60, 20))),
        "answers differ");
    assertEquals(List.of(), RegionDistanceCheck.warnings(MAP, List.of(report(60, 20, 60, 40))));
    assertEquals(
        List.of(),
        RegionDistanceCheck.warnings(MAP, List.of(report(60, 40, 10, 20))),
        "too few to tell");
    ZoneReport half = report(30, 40, 30, 20);
    assertEquals(
        1,
        RegionDistanceCheck.warnings(MAP, List.of(half, half)).size(),
        "of two routers together");
  }
}
