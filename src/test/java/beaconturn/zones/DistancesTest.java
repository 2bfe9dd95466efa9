package beaconturn.zones;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

class DistancesTest {
  private static final Geography MAP =
      new Geography(new TreeMap<>(Map.of("a", "one", "b", "one", "c", "two")), 100, 1e6, 50);

  /** A router of a, what it had of b and of c, each good answer in so many milliseconds. */
  private static Report report(long ofB, double msB, long ofC, double msC) {
    return new Report(
        "r/1",
        "a",
        1,
        0,
        1000,
        new TreeMap<>(
            Map.of(
                "b", new Seen(ofB, 0, (long) (ofB * msB * 1000), 4, 4, 0),
                "c", new Seen(ofC, 0, (long) (ofC * msC * 1000), 4, 4, 0))));
  }

  @Test
  void aPlaceOfTheRegionThatTakesLongerThanOneOfAnotherIsTold() {
    assertEquals(
        List.of(
            "from a, b of region one takes 40.0 ms and c of region two 20.0 ms: are the"
                + " regions right?"),
        Distances.doubts(MAP, List.of(report(60, 40, 60, 20))));
    assertEquals(
        List.of(), Distances.doubts(MAP, List.of(report(60, 25, 60, 20))), "answers differ");
    assertEquals(List.of(), Distances.doubts(MAP, List.of(report(60, 20, 60, 40))));
    assertEquals(
        List.of(), Distances.doubts(MAP, List.of(report(60, 40, 10, 20))), "too few to tell");
    Report half = report(30, 40, 30, 20);
    assertEquals(1, Distances.doubts(MAP, List.of(half, half)).size(), "of two routers together");
  }
}
