package beaconturn.release;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beaconturn.agreement.AgreementException;
import beaconturn.agreement.StoreRequest;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * What is compared beside failures, what a site carries, and what is foretold and recorded of a
 * release.
 */
class CanaryComparisonTest {
  private static final RolloutPlan PLAN =
      new RolloutPlan(
          1,
          InstanceKind.ROUTER,
          List.of(List.of("r1"), List.of("r2", "r3")),
          2_000_000_000,
          20,
          RegressionBounds.USUAL,
          9_000_000_000L,
          0,
          "why",
          null,
          "");

  /** A sample of words such as {@code good=100 late=3}. */
  private static InstanceSample sample(String words) {
    Map<InstanceMetrics, Long> figures = new EnumMap<>(InstanceMetrics.class);
    for (String word : words.split(" ")) {
      String[] pair = word.split("=");
      figures.put(
          InstanceMetrics.valueOf(pair[0].toUpperCase(java.util.Locale.ROOT)),
          Long.parseLong(pair[1]));
    }
    return new InstanceSample("", figures);
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "good=100 late=20 | good=400 late=4 | BAD | ; 0.200 of 100 late, 0.010 of 400",
        "good=100 late=20 | good=400 late=70 | GOOD | ''",
        "good=100 late=4 | good=400 late=4 | GOOD | ''",
        "good=100 hits=40 misses=40 | good=400 hits=300 misses=20 | BAD | ; 0.500 of 80"
            + " missed, 0.063 of 320",
        "good=100 hits=2 misses=9 | good=400 hits=300 misses=20 | GOOD | ''",
        "good=100 readings=10 avoided=5000000 | good=400 readings=30 avoided=300000 | BAD"
            + " | ; 0.500 of the cache servers avoided, 0.010",
        "good=100 readings=10 memory=1400 | good=400 readings=30 memory=3000 | BAD"
            + " | ; 140 kB of memory, 100",
        "good=100 readings=10 memory=1200 | good=400 readings=30 memory=3000 | GOOD | ''",
        "good=100 readings=7 memory=1400 | good=400 readings=30 memory=3000 | WAIT | ''",
        "good=100 hits=20 hit_micros=90000 | good=400 hits=40 hit_micros=40000 | BAD"
            + " | ; 4500 us for a hit, 1000",
        "good=100 hits=19 hit_micros=90000 | good=400 hits=40 hit_micros=40000 | GOOD | ''",
        "good=19 late=19 | good=400 | WAIT | ''"
      })
  void eachMeasureCountsOnceThereIsEnoughOfIt(
      String changed, String others, RolloutHealth.Verdict verdict, String says) {
    CanaryComparison comparison = new CanaryComparison(PLAN, sample(changed), sample(others), 2);
    RolloutHealth.Word word = comparison.word(true, true);
    assertEquals(verdict, word.verdict(), word.says());
    assertTrue(word.says().endsWith(says.isEmpty() ? "others" : says), word.says());
    if (verdict == RolloutHealth.Verdict.BAD) {
      assertEquals(
          RolloutHealth.Verdict.GOOD, comparison.word(false, true).verdict(), "just started");
    }
  }

  /** By chance it comes about once in some thousand looks, which forty parts have in minutes. */
  @Test
  void whatIsWatchedForLongNeedsMoreThanWhatIsCheckedOnce() {
    CanaryComparison chance =
        new CanaryComparison(
            PLAN, sample("good=20 hits=8 misses=12"), sample("good=210 hits=170 misses=40"), 13);
    assertEquals(RolloutHealth.Verdict.BAD, chance.word(true, false).verdict());
    assertEquals(RolloutHealth.Verdict.WAIT, chance.word(true, true).verdict());
    CanaryComparison goesOn =
        new CanaryComparison(
            PLAN, sample("good=40 hits=16 misses=24"), sample("good=420 hits=340 misses=80"), 13);
    assertEquals(RolloutHealth.Verdict.BAD, goesOn.word(true, true).verdict());
  }

  /**
   * A soak that is too short for eight readings takes no mean for bad, and does not wait for more
   * either.
   */
  @Test
  void meansOfFewReadingsCountForNothing() {
    CanaryComparison few =
        new CanaryComparison(
            PLAN,
            sample("good=100 readings=7 memory=1400"),
            sample("good=400 readings=30 memory=3000"),
            2);
    assertEquals(RolloutHealth.Verdict.GOOD, few.word(true, false).verdict());
    assertEquals(RolloutHealth.Verdict.WAIT, few.word(true, true).verdict());
  }

  private static InMemoryStore board(ReleaseFleet.Capacity capacity) throws AgreementException {
    InMemoryStore board = new InMemoryStore();
    board
        .desk()
        .fleet(
            new ReleaseFleet(
                Map.of(
                    InstanceKind.ROUTER,
                    new ReleaseFleet.Group(
                        1,
                        1,
                        new TreeMap<>(Map.of("east", List.of("r1", "r2", "r3"))),
                        capacity))));
    return board;
  }

  private static void tell(InMemoryStore board, String words) {
    List.of("r1", "r2", "r3")
        .forEach(
            id ->
                board.ask(
                    new StoreRequest.Transaction(
                        List.of(),
                        List.of(
                            new StoreRequest.Change.Put(
                                InMemoryStore.KEYS.health(id),
                                RolloutCodec.of(sample(words)),
                                0)))));
  }

  /**
   * With one out and one that fails the third has to carry all, at four fifths of its processor.
   */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "1 | busy=250 cores=1000 | ",
        "1 | busy=300 cores=1000 | east carries 0.9 cores, and 1 routers would be left with"
            + " 1 that fail,"
            + " for 0.8 each",
        "1 | connections=40 most_connections=100 | east carries 120.0 connections, and 1"
            + " routers would be"
            + " left with 1 that fail, for 100.0 each",
        "0 | busy=500 cores=1000 | ",
        "-1 | busy=900 cores=1000 | ",
        "1 | good=5 | "
      })
  void aPlanIsHeldToWhatItsSitesCarry(int spare, String each, String objection)
      throws AgreementException {
    InMemoryStore board = board(new ReleaseFleet.Capacity(0, 0, spare));
    tell(board, each);
    assertEquals(objection, RolloutAdmin.objection(PLAN, board.scene()));
  }

  @Test
  void aStepWaitsWhileProcessorsAreShort() throws AgreementException {
    InMemoryStore board = board(new ReleaseFleet.Capacity(0, 0.5, 1));
    tell(board, "busy=10 cores=8000");
    board.begin(0, List.of(List.of("r1")));
    RolloutDriver driver = new RolloutDriver(InMemoryStore.KEYS, "d1", () -> "");
    assertTrue(board.held(driver.take(board.scene(), 1)));
    assertNull(driver.due(board.scene(), Unavailability.of(Map.of()), 0), "measured first");
    tell(board, "busy=200 cores=8000");
    assertNull(driver.due(board.scene(), Unavailability.of(Map.of()), 1_000_000_000));
    assertEquals(
        "r1: east carries 0.6 cores, and 1 routers would be left with 1 that fail, for 0.4 each",
        driver.waits(),
        "what operators say they may use goes before what they see");
    tell(board, "busy=100 cores=8000");
    RolloutTransaction act = driver.due(board.scene(), Unavailability.of(Map.of()), 1_000_000_000);
    assertTrue(act.says().startsWith("r1 goes"), act.says());
  }

  @Test
  void whatIsForetoldRestsOnTheLastReleaseAndOnTheLoad() throws AgreementException {
    InMemoryStore board = InMemoryStore.with(2, 1).begin(0, List.of(List.of("r1")));
    assertEquals(0, RolloutForecast.of(PLAN, board.scene(), Map.of()).likely(), "nothing is known");
    RolloutDriver driver = new RolloutDriver(InMemoryStore.KEYS, "d1", () -> "");
    assertTrue(board.held(driver.take(board.scene(), 1)));
    assertTrue(board.held(driver.due(board.scene(), Unavailability.of(Map.of()), 0)));
    RolloutAgent agent = board.agent("r1", "a", 1);
    agent.answered(board.held(agent.due(board.scene(), 0)), 0);
    agent.ended(true, "", 3_000_000_000L);
    assertTrue(board.held(agent.due(board.scene(), 0)));
    board.ask(
        new StoreRequest.Transaction(
            List.of(),
            List.of(
                new StoreRequest.Change.Put(
                    InMemoryStore.KEYS.health("r2"), RolloutCodec.of(sample("rate=4")), 0))));
    RolloutForecast forecast =
        RolloutForecast.of(PLAN, board.scene(), Map.of("r4", "holds no lease"));
    // r2 and r3 are of two sites; r1 holds a place still and r4 is gone.
    assertEquals(
        List.of(
            new RolloutForecast.Wave(List.of("r1"), 1, 1, 0),
            new RolloutForecast.Wave(List.of("r2", "r3"), 2, 1, 0)),
        forecast.waves());
    assertEquals(
        2 * (3 + 5), forecast.likely(), "3 s for a restart, 5 s for 20 answers at 4 a second");
    assertEquals(4, forecast.shortest());
    assertEquals(22, forecast.longest());
  }

  @Test
  void aCurveGoesOnWithAnotherDriverAndStaysSmall() throws AgreementException {
    InMemoryStore board = InMemoryStore.with(1, 1).begin(0, List.of(List.of("r1")));
    assertTrue(
        board.held(new RolloutDriver(InMemoryStore.KEYS, "d1", () -> "").take(board.scene(), 1)));
    long sum = 0;
    for (int second = 0; second < 600; second++) {
      // Another driver takes over every 100 seconds, and counts from what it sees first.
      if (second % 100 == 0) {
        recorder = new RolloutRecorder(InMemoryStore.KEYS, 1, board.desk().curve(1));
      } else {
        sum += 10;
      }
      board.health("r1", 10 * second + 1, 0);
      RolloutTransaction point =
          recorder.due(
              board.scene(), Unavailability.of(Map.of("r3", "gone")), 1000L * second + 1000);
      if (point != null) {
        assertTrue(board.held(point));
      }
    }
    RolloutTimeSeries curve = board.desk().curve(1);
    assertTrue(curve.points().size() <= 240, curve.points().size() + " points");
    assertEquals(4000, curve.every());
    assertEquals(1, curve.points().get(0).gone());
    long told = curve.points().stream().mapToLong(RolloutTimeSeries.Point::good).sum();
    // What came since the last point before a change of drivers, and since the last of all, is in
    // none.
    assertTrue(told <= sum && told > sum - 6 * 40, told + " of " + sum);
    RolloutTransaction late =
        new RolloutRecorder(InMemoryStore.KEYS, 1, RolloutTimeSeries.NONE)
            .due(board.scene(), Unavailability.of(Map.of()), 1);
    board.driverGone();
    assertTrue(!board.held(late), "only who drives draws it");
  }

  private RolloutRecorder recorder;
}
