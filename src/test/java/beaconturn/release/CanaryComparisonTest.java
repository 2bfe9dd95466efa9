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

/** Tests of the compared measures, the load check of zones, forecasts and time series. */
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

  /** Parses a sample such as {@code good=100 late=3}, with the serialized names of metrics. */
  private static InstanceSample sample(String text) {
    Map<InstanceMetric, Long> metrics = new EnumMap<>(InstanceMetric.class);
    for (String assignment : text.split(" ")) {
      String[] nameAndValue = assignment.split("=");
      for (InstanceMetric metric : InstanceMetric.values()) {
        if (metric.serializedName().equals(nameAndValue[0])) {
          metrics.put(metric, Long.parseLong(nameAndValue[1]));
        }
      }
    }
    assertEquals(text.split(" ").length, metrics.size(), text);
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
  void comparesEachMeasureGivenEnoughData(
      String changed, String peers, CanaryVerdict.Outcome outcome, String figures) {
    CanaryComparison comparison = new CanaryComparison(PLAN, sample(changed), sample(peers), 2);
    CanaryVerdict verdict = comparison.verdict(true, ComparisonMode.WATCH);
    assertEquals(outcome, verdict.outcome(), verdict.explanation());
    assertTrue(
        verdict.explanation().endsWith(figures.isEmpty() ? "others" : figures),
        verdict.explanation());
    if (outcome == CanaryVerdict.Outcome.REGRESSED) {
      assertEquals(
          CanaryVerdict.Outcome.PASSED,
          comparison.verdict(false, ComparisonMode.WATCH).outcome(),
          "not soaked");
    }
  }

  /** Repeated comparisons of many instances would turn a difference by chance into a rollback. */
  @Test
  void repeatedComparisonsRequireHigherSignificance() {
    CanaryComparison fewResponses =
        new CanaryComparison(
            PLAN, sample("good=20 hits=8 misses=12"), sample("good=210 hits=170 misses=40"), 13);
    assertEquals(
        CanaryVerdict.Outcome.REGRESSED,
        fewResponses.verdict(true, ComparisonMode.CHECK).outcome());
    assertEquals(
        CanaryVerdict.Outcome.PENDING, fewResponses.verdict(true, ComparisonMode.WATCH).outcome());
    CanaryComparison moreResponses =
        new CanaryComparison(
            PLAN, sample("good=40 hits=16 misses=24"), sample("good=420 hits=340 misses=80"), 13);
    assertEquals(
        CanaryVerdict.Outcome.REGRESSED,
        moreResponses.verdict(true, ComparisonMode.WATCH).outcome());
  }

  /** A soak that is too short for the minimum of readings must not keep the check pending. */
  @Test
  void checkIgnoresMeansOfTooFewReadings() {
    CanaryComparison fewReadings =
        new CanaryComparison(
            PLAN,
            sample("good=100 readings=7 memory=1400"),
            sample("good=400 readings=30 memory=3000"),
            2);
    assertEquals(
        CanaryVerdict.Outcome.PASSED, fewReadings.verdict(true, ComparisonMode.CHECK).outcome());
    assertEquals(
        CanaryVerdict.Outcome.PENDING, fewReadings.verdict(true, ComparisonMode.WATCH).outcome());
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

  private static void reportFromAll(InMemoryStore store, String sampleText) {
    List.of("r1", "r2", "r3")
        .forEach(
            id ->
                store.ask(
                    new StoreRequest.Transaction(
                        List.of(),
                        List.of(
                            new StoreRequest.Change.Put(
                                InMemoryStore.KEYS.sample(id),
                                RolloutCodec.encode(sample(sampleText)),
                                0)))));
  }

  /** With one out of service and one failed, the third instance must carry the load of the zone. */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "1 | busy=250 cores=1000 | ",
        "1 | busy=300 cores=1000 | east carries 0.9 cores; 1 routers would be left with"
            + " 1 failed,"
            + " with a capacity of 0.8 each",
        "1 | connections=40 most_connections=100 | east carries 120.0 connections; 1"
            + " routers would be"
            + " left with 1 failed, with a capacity of 100.0 each",
        "0 | busy=500 cores=1000 | ",
        "-1 | busy=900 cores=1000 | ",
        "1 | good=5 | "
      })
  void rejectsPlansThatWouldOverloadAZone(
      int toleratedFailures, String sampleText, String blockingReason) throws AgreementException {
    InMemoryStore store = store(new ReleaseFleet.Capacity(0, 0, toleratedFailures));
    reportFromAll(store, sampleText);
    assertEquals(blockingReason, RolloutAdmin.blockingReason(PLAN, store.snapshot()));
  }

  @Test
  void delaysAStepThatWouldOverloadCpus() throws AgreementException {
    InMemoryStore store = store(new ReleaseFleet.Capacity(0, 0.5, 1));
    reportFromAll(store, "busy=10 cores=8000");
    store.startRelease(0, List.of(List.of("r1")));
    RolloutDriver driver = new RolloutDriver(InMemoryStore.KEYS, "d1", () -> "");
    assertTrue(store.commits(driver.acquireLease(store.snapshot(), 1)));
    assertNull(
        driver.nextTransaction(store.snapshot(), Unavailability.of(Map.of()), 0),
        "the load is not measured yet");
    reportFromAll(store, "busy=200 cores=8000");
    assertNull(
        driver.nextTransaction(store.snapshot(), Unavailability.of(Map.of()), 1_000_000_000));
    assertEquals(
        "r1: east carries 0.6 cores; 1 routers would be left with 1 failed, with a capacity of 0.4"
            + " each",
        driver.waitReason(),
        "the cores of the fleet definition take precedence");
    reportFromAll(store, "busy=100 cores=8000");
    RolloutTransaction transaction =
        driver.nextTransaction(store.snapshot(), Unavailability.of(Map.of()), 1_000_000_000);
    assertTrue(transaction.description().startsWith("r1 goes"), transaction.description());
  }

  @Test
  void forecastUsesTheLastReleaseAndTheLoad() throws AgreementException {
    InMemoryStore store = InMemoryStore.withRouters(2, 1).startRelease(0, List.of(List.of("r1")));
    assertEquals(
        0,
        RolloutForecast.of(PLAN, store.snapshot(), Map.of()).likelySeconds(),
        "restarts and load are unknown");
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
    // r2 and r3 are in different zones; r1 still holds a permit and r4 is out of service.
    assertEquals(
        List.of(
            new RolloutForecast.Wave(List.of("r1"), 1, 1, 0),
            new RolloutForecast.Wave(List.of("r2", "r3"), 2, 1, 0)),
        forecast.waves());
    assertEquals(
        2 * (3 + 5),
        forecast.likelySeconds(),
        "3 s for a restart, 5 s for 20 responses at 4 per second");
    assertEquals(4, forecast.shortestSeconds());
    assertEquals(22, forecast.longestSeconds());
  }

  @Test
  void timeSeriesIsContinuedByAnotherDriverAndBounded() throws AgreementException {
    InMemoryStore store = InMemoryStore.withRouters(1, 1).startRelease(0, List.of(List.of("r1")));
    assertTrue(
        store.commits(
            new RolloutDriver(InMemoryStore.KEYS, "d1", () -> "")
                .acquireLease(store.snapshot(), 1)));
    long observed = 0;
    for (int second = 0; second < 600; second++) {
      // Another driver takes over every 100 seconds and counts from its first snapshot.
      if (second % 100 == 0) {
        recorder = new RolloutRecorder(InMemoryStore.KEYS, 1, store.admin().timeSeries(1));
      } else {
        observed += 10;
      }
      store.reportResponses("r1", 10 * second + 1, 0);
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
    // Responses after the last point of each of the 6 drivers are not recorded.
    assertTrue(recorded <= observed && recorded > observed - 6 * 40, recorded + " of " + observed);
    RolloutTransaction outdated =
        new RolloutRecorder(InMemoryStore.KEYS, 1, RolloutTimeSeries.EMPTY)
            .nextTransaction(store.snapshot(), Unavailability.of(Map.of()), 1);
    store.expireDriverLease();
    assertTrue(!store.commits(outdated), "only the driver records the time series");
  }

  private RolloutRecorder recorder;
}
