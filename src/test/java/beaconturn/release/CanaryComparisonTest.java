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

/** Measures that are compared beside failures, the load of zones, forecasts and time series. */
class CanaryComparisonTest {
  private static final RolloutPlan PLAN =
      new RolloutPlan(
          1,
          InstanceKind.ROUTER,
          List.of(List.of("r1"), List.of("r2", "r3")),
          2_000_000_000,
          20,
          RegressionBounds.DEFAULT,
          9_000_000_000L,
          0,
          "why",
          null,
          "");

  /** A sample of words such as {@code good=100 late=3}. */
  private static InstanceSample sample(String words) {
    Map<InstanceMetric, Long> metrics = new EnumMap<>(InstanceMetric.class);
    for (String word : words.split(" ")) {
      String[] pair = word.split("=");
      for (InstanceMetric metric : InstanceMetric.values()) {
        if (metric.serializedName().equals(pair[0])) {
          metrics.put(metric, Long.parseLong(pair[1]));
        }
      }
    }
    assertEquals(words.split(" ").length, metrics.size(), words);
    return new InstanceSample("", metrics);
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "good=100 late=20 | good=400 late=4 | REGRESSED | ; 0.200 of 100 late, 0.010 of 400",
        "good=100 late=20 | good=400 late=70 | PASSED | ''",
        "good=100 late=4 | good=400 late=4 | PASSED | ''",
        "good=100 hits=40 misses=40 | good=400 hits=300 misses=20 | REGRESSED | ; 0.500 of 80"
            + " missed, 0.063 of 320",
        "good=100 hits=2 misses=9 | good=400 hits=300 misses=20 | PASSED | ''",
        "good=100 readings=10 avoided=5000000 | good=400 readings=30 avoided=300000 | REGRESSED"
            + " | ; 0.500 of the cache servers avoided, 0.010",
        "good=100 readings=10 memory=1400 | good=400 readings=30 memory=3000 | REGRESSED"
            + " | ; 140 kB of memory, 100",
        "good=100 readings=10 memory=1200 | good=400 readings=30 memory=3000 | PASSED | ''",
        "good=100 readings=7 memory=1400 | good=400 readings=30 memory=3000 | PENDING | ''",
        "good=100 hits=20 hit_micros=90000 | good=400 hits=40 hit_micros=40000 | REGRESSED"
            + " | ; 4500 us for a hit, 1000",
        "good=100 hits=19 hit_micros=90000 | good=400 hits=40 hit_micros=40000 | PASSED | ''",
        "good=19 late=19 | good=400 | PENDING | ''"
      })
  void eachMeasureCountsOnceThereIsEnoughOfIt(
      String changed, String others, CanaryVerdict.Outcome outcome, String says) {
    CanaryComparison comparison = new CanaryComparison(PLAN, sample(changed), sample(others), 2);
    CanaryVerdict verdict = comparison.verdict(true, ComparisonMode.WATCH);
    assertEquals(outcome, verdict.outcome(), verdict.explanation());
    assertTrue(
        verdict.explanation().endsWith(says.isEmpty() ? "others" : says), verdict.explanation());
    if (outcome == CanaryVerdict.Outcome.REGRESSED) {
      assertEquals(
          CanaryVerdict.Outcome.PASSED,
          comparison.verdict(false, ComparisonMode.WATCH).outcome(),
          "just started");
    }
  }

  /** Once in some thousand comparisons it is chance, and many instances make those in minutes. */
  @Test
  void whatIsWatchedForLongNeedsMoreThanWhatIsCheckedOnce() {
    CanaryComparison chance =
        new CanaryComparison(
            PLAN, sample("good=20 hits=8 misses=12"), sample("good=210 hits=170 misses=40"), 13);
    assertEquals(
        CanaryVerdict.Outcome.REGRESSED, chance.verdict(true, ComparisonMode.CHECK).outcome());
    assertEquals(
        CanaryVerdict.Outcome.PENDING, chance.verdict(true, ComparisonMode.WATCH).outcome());
    CanaryComparison goesOn =
        new CanaryComparison(
            PLAN, sample("good=40 hits=16 misses=24"), sample("good=420 hits=340 misses=80"), 13);
    assertEquals(
        CanaryVerdict.Outcome.REGRESSED, goesOn.verdict(true, ComparisonMode.WATCH).outcome());
  }

  /** A soak that is too short for eight readings compares no means, and does not wait for more. */
  @Test
  void meansOfFewReadingsCountForNothing() {
    CanaryComparison few =
        new CanaryComparison(
            PLAN,
            sample("good=100 readings=7 memory=1400"),
            sample("good=400 readings=30 memory=3000"),
            2);
    assertEquals(CanaryVerdict.Outcome.PASSED, few.verdict(true, ComparisonMode.CHECK).outcome());
    assertEquals(CanaryVerdict.Outcome.PENDING, few.verdict(true, ComparisonMode.WATCH).outcome());
  }

  private static InMemoryStore store(ReleaseFleet.Capacity capacity) throws AgreementException {
    InMemoryStore store = new InMemoryStore();
    store
        .admin()
        .defineFleet(
            new ReleaseFleet(
                Map.of(
                    InstanceKind.ROUTER,
                    new ReleaseFleet.Group(
                        1,
                        1,
                        new TreeMap<>(Map.of("east", List.of("r1", "r2", "r3"))),
                        capacity))));
    return store;
  }

  private static void report(InMemoryStore store, String words) {
    List.of("r1", "r2", "r3")
        .forEach(
            id ->
                store.ask(
                    new StoreRequest.Transaction(
                        List.of(),
                        List.of(
                            new StoreRequest.Change.Put(
                                InMemoryStore.KEYS.sample(id),
                                RolloutCodec.encode(sample(words)),
                                0)))));
  }

  /** With one out and one failed the third has to carry all, at four fifths of its cores. */
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
  void aPlanIsHeldToWhatItsSitesCarry(int spare, String each, String blockingReason)
      throws AgreementException {
    InMemoryStore store = store(new ReleaseFleet.Capacity(0, 0, spare));
    report(store, each);
    assertEquals(blockingReason, RolloutAdmin.blockingReason(PLAN, store.snapshot()));
  }

  @Test
  void aStepWaitsWhileProcessorsAreShort() throws AgreementException {
    InMemoryStore store = store(new ReleaseFleet.Capacity(0, 0.5, 1));
    report(store, "busy=10 cores=8000");
    store.begin(0, List.of(List.of("r1")));
    RolloutDriver driver = new RolloutDriver(InMemoryStore.KEYS, "d1", () -> "");
    assertTrue(store.commits(driver.acquireLease(store.snapshot(), 1)));
    assertNull(
        driver.nextTransaction(store.snapshot(), Unavailability.of(Map.of()), 0), "measured first");
    report(store, "busy=200 cores=8000");
    assertNull(
        driver.nextTransaction(store.snapshot(), Unavailability.of(Map.of()), 1_000_000_000));
    assertEquals(
        "r1: east carries 0.6 cores, and 1 routers would be left with 1 that fail, for 0.4 each",
        driver.waitReason(),
        "what operators say they may use goes before what they see");
    report(store, "busy=100 cores=8000");
    RolloutTransaction transaction =
        driver.nextTransaction(store.snapshot(), Unavailability.of(Map.of()), 1_000_000_000);
    assertTrue(transaction.description().startsWith("r1 goes"), transaction.description());
  }

  @Test
  void whatIsForetoldRestsOnTheLastReleaseAndOnTheLoad() throws AgreementException {
    InMemoryStore store = InMemoryStore.with(2, 1).begin(0, List.of(List.of("r1")));
    assertEquals(
        0,
        RolloutForecast.of(PLAN, store.snapshot(), Map.of()).likelySeconds(),
        "nothing is known");
    RolloutDriver driver = new RolloutDriver(InMemoryStore.KEYS, "d1", () -> "");
    assertTrue(store.commits(driver.acquireLease(store.snapshot(), 1)));
    assertTrue(
        store.commits(driver.nextTransaction(store.snapshot(), Unavailability.of(Map.of()), 0)));
    RolloutAgent agent = store.agent("r1", "a", 1);
    agent.transactionCompleted(store.commits(agent.nextTransaction(store.snapshot(), 0)), 0);
    agent.actionEnded(true, "", 3_000_000_000L);
    assertTrue(store.commits(agent.nextTransaction(store.snapshot(), 0)));
    store.ask(
        new StoreRequest.Transaction(
            List.of(),
            List.of(
                new StoreRequest.Change.Put(
                    InMemoryStore.KEYS.sample("r2"), RolloutCodec.encode(sample("rate=4")), 0))));
    RolloutForecast forecast =
        RolloutForecast.of(PLAN, store.snapshot(), Map.of("r4", "holds no lease"));
    // r2 and r3 are of two zones; r1 still holds a permit and r4 is out.
    assertEquals(
        List.of(
            new RolloutForecast.Wave(List.of("r1"), 1, 1, 0),
            new RolloutForecast.Wave(List.of("r2", "r3"), 2, 1, 0)),
        forecast.waves());
    assertEquals(
        2 * (3 + 5),
        forecast.likelySeconds(),
        "3 s for a restart, 5 s for 20 answers at 4 a second");
    assertEquals(4, forecast.shortestSeconds());
    assertEquals(22, forecast.longestSeconds());
  }

  @Test
  void aCurveGoesOnWithAnotherDriverAndStaysSmall() throws AgreementException {
    InMemoryStore store = InMemoryStore.with(1, 1).begin(0, List.of(List.of("r1")));
    assertTrue(
        store.commits(
            new RolloutDriver(InMemoryStore.KEYS, "d1", () -> "")
                .acquireLease(store.snapshot(), 1)));
    long sum = 0;
    for (int second = 0; second < 600; second++) {
      // Another driver takes over every 100 seconds, and counts from what it sees first.
      if (second % 100 == 0) {
        recorder = new RolloutRecorder(InMemoryStore.KEYS, 1, store.admin().timeSeries(1));
      } else {
        sum += 10;
      }
      store.health("r1", 10 * second + 1, 0);
      RolloutTransaction point =
          recorder.nextTransaction(
              store.snapshot(), Unavailability.of(Map.of("r3", "gone")), 1000L * second + 1000);
      if (point != null) {
        assertTrue(store.commits(point));
      }
    }
    RolloutTimeSeries series = store.admin().timeSeries(1);
    assertTrue(series.points().size() <= 240, series.points().size() + " points");
    assertEquals(4000, series.intervalMillis());
    assertEquals(1, series.points().get(0).unplannedUnavailable());
    long recorded = series.points().stream().mapToLong(RolloutTimeSeries.Point::served).sum();
    // What came since the last point before a change of drivers, and since the last of all, is in
    // none.
    assertTrue(recorded <= sum && recorded > sum - 6 * 40, recorded + " of " + sum);
    RolloutTransaction late =
        new RolloutRecorder(InMemoryStore.KEYS, 1, RolloutTimeSeries.EMPTY)
            .nextTransaction(store.snapshot(), Unavailability.of(Map.of()), 1);
    store.driverGone();
    assertTrue(!store.commits(late), "only who drives draws it");
  }

  private RolloutRecorder recorder;
}
