package beaconturn.zones;

import static org.junit.jupiter.api.Assertions.assertEquals;

import beaconturn.agreement.AgreementException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/**
 * Checks the stored form of plans, reports and overrides. Routers of two builds share one store
 * during a rollout; the constants were written by an earlier build.
 */
class ZonesCodecTest {
  private static final String PLAN =
      """
          {"number":7,"rows":[{"place":"z0","state":"near","flaps":0,"part\
          s":[{"to":"z0","part":950},{"to":"b","part":30},{"to":"a","part"\
          :20}]},{"place":"z1","state":"spilling","flaps":1,"parts":[{"to"\
          :"z1","part":949},{"to":"b","part":30},{"to":"a","part":20}]},{"\
          place":"z2","state":"failed_over","flaps":2,"parts":[{"to":"z2",\
          "part":948},{"to":"b","part":30},{"to":"a","part":20}]},{"place"\
          :"z3","state":"returning","flaps":3,"parts":[{"to":"z3","part":9\
          47},{"to":"b","part":30},{"to":"a","part":20}]},{"place":"z4","s\
          tate":"split","flaps":4,"parts":[{"to":"z4","part":946},{"to":"b\
          ","part":30},{"to":"a","part":20}]}],"why":"z1: answers fail","b\
          y":"1f-77"}""";
  private static final String REPORT =
      """
          {"router":"r1/1f-77","home":"east","number":9,"plan":7,"arrivals\
          ":123456789012,"places":[{"place":"east","good":1000000,"bad":20\
          ,"micros":333333333333,"listed":12,"warm":11,"ejected":1},{"plac\
          e":"west","good":0,"bad":0,"micros":0,"listed":0,"warm":0,"eject\
          ed":0}]}""";
  private static final String OVERRIDE =
      """
          {"place":"east","what":"WORD","weight":500,"for_ns":60000000000,\
          "by":"op","reason":"power \\"work\\""}""";

  private static ZonePlan plan() {
    TreeMap<String, ZoneAllocation> allocations = new TreeMap<>();
    TreeMap<String, ZoneState> states = new TreeMap<>();
    TreeMap<String, Integer> flaps = new TreeMap<>();
    int i = 0;
    for (ZoneState state : ZoneState.values()) {
      String zone = "z" + i;
      Map<String, Integer> weights = new LinkedHashMap<>();
      weights.put(zone, 950 - i);
      weights.put("b", 30);
      weights.put("a", 20);
      allocations.put(zone, new ZoneAllocation(weights));
      states.put(zone, state);
      if (i > 0) {
        flaps.put(zone, i - 1);
      }
      i++;
    }
    return new ZonePlan(7, allocations, states, flaps, "z1: answers fail", "1f-77");
  }

  private static ZoneReport report() {
    TreeMap<String, ZoneObservations> zones = new TreeMap<>();
    zones.put("east", new ZoneObservations(1_000_000, 20, 333_333_333_333L, 12, 11, 1));
    zones.put("west", ZoneObservations.NONE);
    return new ZoneReport("r1/1f-77", "east", 9, 7, 123_456_789_012L, zones);
  }

  private static ZoneOverride override(ZoneOverrideKind kind) {
    return new ZoneOverride("east", kind, 500, 60_000_000_000L, "op", "power \"work\"");
  }

  @Test
  void planEncodingMatchesEarlierBuild() throws AgreementException {
    assertEquals(PLAN, ZonesCodec.encode(plan()));
    assertEquals(plan(), ZonesCodec.decodePlan(PLAN));
  }

  @Test
  void reportEncodingMatchesEarlierBuild() throws AgreementException {
    assertEquals(REPORT, ZonesCodec.encode(report()));
    assertEquals(report(), ZonesCodec.decodeReport(REPORT));
  }

  @Test
  void overrideEncodingMatchesEarlierBuild() throws AgreementException {
    String[] words = {"drain", "hold", "weight"};
    for (ZoneOverrideKind kind : ZoneOverrideKind.values()) {
      String text = OVERRIDE.replace("WORD", words[kind.ordinal()]);
      assertEquals(text, ZonesCodec.encode(override(kind)));
      assertEquals(override(kind), ZonesCodec.decodeOverride(text));
    }
  }
}
