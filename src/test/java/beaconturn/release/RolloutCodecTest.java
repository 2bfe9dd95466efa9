package beaconturn.release;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import beaconturn.agreement.AgreementException;
import beaconturn.agreement.ConfigContent;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/**
 * Checks that stored formats stay compatible: during an upgrade, drivers and agents of different
 * builds read each other's data. The texts below must be decoded and encoded without any
 * difference.
 */
class RolloutCodecTest {
  private static final String FLEET =
      "{\"groups\":[{\"kind\":\"router\",\"most_out\":2,\"most_out_of_site\":1,"
          + "\"each_per_s\":\"100.0\",\"cores\":\"1.5\",\"failures\":2,\"sites\":["
          + "{\"site\":\"east\",\"parts\":[\"r1\",\"r2\"]},"
          + "{\"site\":\"west\",\"parts\":[\"r3\"]}]},"
          + "{\"kind\":\"cache\",\"most_out\":1,\"most_out_of_site\":1,\"each_per_s\":\"0.0\","
          + "\"cores\":\"0.0\",\"failures\":0,"
          + "\"sites\":[{\"site\":\"east\",\"parts\":[\"c1\"]}]}]}";
  private static final String PERMIT =
      "{\"number\":7,\"kind\":\"cache\",\"id\":\"c1\",\"holder\":\"release 3\",\"reason\":\"why\"}";
  private static final String PLAN =
      "{\"number\":3,\"kind\":\"router\",\"waves\":[[\"r1\"],[\"r2\",\"r3\"]],"
          + "\"soak_ns\":30000000000,\"samples\":500,\"worse\":{\"bad\":\"0.02\",\"late\":\"0.05\","
          + "\"missed\":\"0.2\",\"avoided\":\"0.34\",\"memory\":\"0.3\",\"slower\":\"1.0\"},"
          + "\"limit_ns\":60000000000,\"alone_ns\":90000000000,\"reason\":\"new build\","
          + "\"settings\":null,\"cluster\":\"\"}";
  private static final String PLAN_WITH_CONFIG =
      "{\"number\":4,\"kind\":\"cache\",\"waves\":[[\"c1\"]],"
          + "\"soak_ns\":1,\"samples\":2,\"worse\":{\"bad\":\"0.1\",\"late\":\"0.2\","
          + "\"missed\":\"0.3\",\"avoided\":\"0.4\",\"memory\":\"0.5\",\"slower\":\"0.6\"},"
          + "\"limit_ns\":3,\"alone_ns\":0,\"reason\":\"r\","
          + "\"settings\":{\"most_tries\":2,\"out\":[\"c9\"]},\"cluster\":\"17\"}";
  private static final String CONFIG_CHANGE =
      "{\"number\":5,\"before\":{\"most_tries\":2,\"out\":[\"c9\"]},\"undone\":6}";
  private static final String SAMPLE =
      "{\"process\":\"p1\",\"good\":1,\"bad\":2,\"late\":3,\"hits\":4,\"misses\":5,"
          + "\"hit_micros\":6,\"readings\":7,\"avoided\":8,\"memory\":9,\"rate\":10,\"busy\":11,"
          + "\"cores\":12,\"connections\":13,\"most_connections\":14}";
  private static final String TIME_SERIES =
      "{\"every_ms\":1000,\"points\":[{\"at\":5000,\"good\":1,\"bad\":2,\"late\":3,\"planned\":4,"
          + "\"gone\":5},{\"at\":6000,\"good\":6,\"bad\":7,\"late\":8,\"planned\":9,\"gone\":10}]}";
  private static final ConfigContent CONTENT =
      new ConfigContent(new TreeMap<>(), 2, null, 0, new TreeSet<>(List.of("c9")));
  private static final List<String> MODE_NAMES =
      List.of("running", "halted", "backing", "done", "back", "abandoned");
  private static final List<String> PHASE_NAMES =
      List.of("granted", "begun", "up", "failed", "good", "undone");

  @Test
  void fleetFormatIsStable() throws AgreementException {
    ReleaseFleet.Group routers =
        new ReleaseFleet.Group(
            2,
            1,
            new TreeMap<>(Map.of("east", List.of("r1", "r2"), "west", List.of("r3"))),
            new ReleaseFleet.Capacity(100, 1.5, 1));
    ReleaseFleet.Group caches =
        new ReleaseFleet.Group(1, 1, new TreeMap<>(Map.of("east", List.of("c1"))));
    ReleaseFleet fleet =
        new ReleaseFleet(Map.of(InstanceKind.ROUTER, routers, InstanceKind.CACHE, caches));
    assertEquals(FLEET, ReleaseFleetCodec.encode(fleet));
    assertEquals(fleet, ReleaseFleetCodec.decode(FLEET));
  }

  @Test
  void permitFormatIsStable() throws AgreementException {
    DisruptionPermit permit = new DisruptionPermit(7, InstanceKind.CACHE, "c1", "release 3", "why");
    assertEquals(PERMIT, RolloutCodec.encode(permit));
    assertEquals(permit, RolloutCodec.decodePermit(PERMIT));
  }

  @Test
  void planFormatIsStable() throws AgreementException {
    RolloutPlan plan =
        new RolloutPlan(
            3,
            InstanceKind.ROUTER,
            List.of(List.of("r1"), List.of("r2", "r3")),
            30_000_000_000L,
            500,
            RegressionBounds.DEFAULT,
            60_000_000_000L,
            90_000_000_000L,
            "new build",
            null,
            "");
    assertEquals(PLAN, RolloutPlanCodec.encode(plan));
    assertEquals(plan, RolloutPlanCodec.decode(PLAN));
  }

  @Test
  void planWithConfigFormatIsStable() throws AgreementException {
    RolloutPlan plan =
        new RolloutPlan(
            4,
            InstanceKind.CACHE,
            List.of(List.of("c1")),
            1,
            2,
            new RegressionBounds(0.1, 0.2, 0.3, 0.4, 0.5, 0.6),
            3,
            0,
            "r",
            CONTENT,
            "17");
    assertEquals(PLAN_WITH_CONFIG, RolloutPlanCodec.encode(plan));
    assertEquals(plan, RolloutPlanCodec.decode(PLAN_WITH_CONFIG));
  }

  @Test
  void configChangeFormatIsStable() throws AgreementException {
    ConfigChange change = new ConfigChange(5, CONTENT, 6);
    assertEquals(CONFIG_CHANGE, RolloutCodec.encode(change));
    assertEquals(change, RolloutCodec.decodeConfigChange(CONFIG_CHANGE));
  }

  @Test
  void modeFormatIsStable() throws AgreementException {
    RolloutMode[] modes = RolloutMode.values();
    assertEquals(MODE_NAMES.size(), modes.length);
    for (int i = 0; i < modes.length; i++) {
      String text = "{\"mode\":\"" + MODE_NAMES.get(i) + "\",\"why\":\"w\",\"by\":\"b\"}";
      RolloutState state = new RolloutState(modes[i], "w", "b");
      assertEquals(text, RolloutCodec.encode(state));
      assertEquals(state, RolloutCodec.decodeState(text));
    }
  }

  @Test
  void phaseAndVariantFormatIsStable() throws AgreementException {
    StepPhase[] phases = StepPhase.values();
    assertEquals(PHASE_NAMES.size(), phases.length);
    for (InstanceVariant variant : List.of(InstanceVariant.OLD, InstanceVariant.NEW)) {
      String variantName = variant == InstanceVariant.OLD ? "old" : "new";
      for (int i = 0; i < phases.length; i++) {
        String text =
            String.format(
                Locale.ROOT,
                "{\"id\":\"r1\",\"permit\":2,\"phase\":\"%s\",\"variant\":\"%s\","
                    + "\"agent\":\"a\",\"why\":\"w\",\"started\":0,\"took_ns\":12}",
                PHASE_NAMES.get(i),
                variantName);
        RolloutStep step = new RolloutStep("r1", 2, phases[i], variant, "a", "w", -1, 12);
        assertEquals(text, RolloutCodec.encode(step));
        assertEquals(step, RolloutCodec.decodeStep(text));
      }
    }
  }

  @Test
  void metricFormatIsStable() throws AgreementException {
    Map<InstanceMetric, Long> values = new EnumMap<>(InstanceMetric.class);
    for (InstanceMetric metric : InstanceMetric.values()) {
      values.put(metric, values.size() + 1L);
    }
    InstanceSample sample = new InstanceSample("p1", values);
    assertEquals(SAMPLE, RolloutCodec.encode(sample));
    assertEquals(sample, RolloutCodec.decodeSample(SAMPLE));
  }

  @Test
  void timeSeriesFormatIsStable() throws AgreementException {
    RolloutTimeSeries series =
        new RolloutTimeSeries(
            1000,
            List.of(
                new RolloutTimeSeries.Point(5000, 1, 2, 3, 4, 5),
                new RolloutTimeSeries.Point(6000, 6, 7, 8, 9, 10)));
    assertEquals(TIME_SERIES, RolloutTimeSeriesCodec.encode(series));
    assertEquals(series, RolloutTimeSeriesCodec.decode(TIME_SERIES));
  }

  @Test
  void keysAreStable() {
    RolloutKeys keys = new RolloutKeys("/f");
    assertEquals(
        List.of(
            "/f/release/fleet",
            "/f/release/counter",
            "/f/release/permit/000000012",
            "/f/release/plan",
            "/f/release/course",
            "/f/release/step/r1",
            "/f/release/settings",
            "/f/release/driver",
            "/f/release/agent/r1",
            "/f/release/health/r1",
            "/f/release/told",
            "/f/release-curve/000000012",
            "/f/release-history/000000012"),
        List.of(
            keys.fleetDefinition(),
            keys.permitCounter(),
            keys.permit(12),
            keys.plan(),
            keys.state(),
            keys.step("r1"),
            keys.configChange(),
            keys.driver(),
            keys.agent("r1"),
            keys.sample("r1"),
            keys.historyLength(),
            keys.timeSeries(12),
            keys.historyLine(12)));
  }

  @Test
  void rejectsUnknownNames() {
    for (String mode : List.of("", "RUNNING", "x", "2")) {
      AgreementException e =
          assertThrows(
              AgreementException.class,
              () ->
                  RolloutCodec.decodeState("{\"mode\":\"" + mode + "\",\"why\":\"\",\"by\":\"\"}"));
      assertEquals("mode: '" + mode + "' is not a known value", e.getMessage());
    }
    AgreementException e =
        assertThrows(
            AgreementException.class,
            () -> RolloutCodec.decodePermit("{\"number\":1,\"kind\":\"disk\"}"));
    assertEquals("unknown kind of instance: 'disk'", e.getMessage());
  }
}
