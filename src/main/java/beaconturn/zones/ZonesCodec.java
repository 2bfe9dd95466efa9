package beaconturn.zones;

import beaconturn.agreement.AgreementException;
import beaconturn.agreement.StoredJson;
import beaconturn.protocol.Json;
import beaconturn.protocol.JsonWriter;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/** Encodes plans, reports and overrides as the JSON texts kept in the store. */
public final class ZonesCodec {
  /** Flap count of a zone that never failed over; stored as 0, as stored counts are one greater. */
  private static final int NEVER_FAILED_OVER = -1;

  private ZonesCodec() {}

  static String encode(ZoneReport report) {
    List<Json> zones = new ArrayList<>();
    report.zones().forEach((zone, observations) -> zones.add(observationsJson(zone, observations)));
    return JsonWriter.write(
        StoredJson.object(
            "router",
            report.router(),
            "home",
            report.homeZone(),
            "number",
            report.sequenceNumber(),
            "plan",
            report.planNumber(),
            "arrivals",
            report.arrivals(),
            "places",
            StoredJson.list(zones)));
  }

  private static Json observationsJson(String zone, ZoneObservations observations) {
    return StoredJson.object(
        "place",
        zone,
        "good",
        observations.successfulAttempts(),
        "bad",
        observations.failedAttempts(),
        "micros",
        observations.successMicros(),
        "listed",
        observations.listedServers(),
        "warm",
        observations.warmServers(),
        "ejected",
        observations.ejectedServers());
  }

  static ZoneReport decodeReport(String text) throws AgreementException {
    Json json = StoredJson.parse(text);
    SortedMap<String, ZoneObservations> zones = new TreeMap<>();
    for (Json zone : json.get("places").items()) {
      zones.put(zone.get("place").asText(""), decodeObservations(zone));
    }
    return new ZoneReport(
        json.get("router").asText(""),
        json.get("home").asText(""),
        number(json, "number"),
        number(json, "plan"),
        number(json, "arrivals"),
        zones);
  }

  private static ZoneObservations decodeObservations(Json json) throws AgreementException {
    return new ZoneObservations(
        number(json, "good"),
        number(json, "bad"),
        number(json, "micros"),
        (int) number(json, "listed"),
        (int) number(json, "warm"),
        (int) number(json, "ejected"));
  }

  /** Encodes a plan, for the plan in force and for the plan history. */
  public static String encode(ZonePlan plan) {
    List<Json> rows = new ArrayList<>();
    plan.allocations()
        .forEach((zone, allocation) -> rows.add(allocationJson(plan, zone, allocation)));
    return JsonWriter.write(
        StoredJson.object(
            "number",
            plan.number(),
            "rows",
            StoredJson.list(rows),
            "why",
            plan.reason(),
            "by",
            plan.leader()));
  }

  private static Json allocationJson(ZonePlan plan, String zone, ZoneAllocation allocation) {
    List<Json> parts = new ArrayList<>();
    allocation
        .weights()
        .forEach((to, weight) -> parts.add(StoredJson.object("to", to, "part", weight)));
    return StoredJson.object(
        "place",
        zone,
        "state",
        word(plan.states().getOrDefault(zone, ZoneState.NEAR)),
        "flaps",
        plan.flapCounts().getOrDefault(zone, NEVER_FAILED_OVER) + 1,
        "parts",
        StoredJson.list(parts));
  }

  /**
   * Decodes a plan.
   *
   * @throws AgreementException if the text is invalid
   */
  public static ZonePlan decodePlan(String text) throws AgreementException {
    Json json = StoredJson.parse(text);
    SortedMap<String, ZoneAllocation> allocations = new TreeMap<>();
    SortedMap<String, ZoneState> states = new TreeMap<>();
    SortedMap<String, Integer> flapCounts = new TreeMap<>();
    for (Json row : json.get("rows").items()) {
      String zone = row.get("place").asText("");
      allocations.put(zone, decodeAllocation(zone, row));
      states.put(zone, decodeState(row.get("state").asText("")));
      int flapCount = (int) StoredJson.wholeNumber(row, "flaps", 0, Integer.MAX_VALUE) - 1;
      if (flapCount > NEVER_FAILED_OVER) {
        flapCounts.put(zone, flapCount);
      }
    }
    return new ZonePlan(
        number(json, "number"),
        allocations,
        states,
        flapCounts,
        json.get("why").asText(""),
        json.get("by").asText(""));
  }

  private static ZoneAllocation decodeAllocation(String zone, Json row) throws AgreementException {
    Map<String, Integer> weights = new LinkedHashMap<>();
    for (Json part : row.get("parts").items()) {
      long weight = StoredJson.wholeNumber(part, "part", 0, ZoneAllocation.TOTAL_WEIGHT);
      weights.put(part.get("to").asText(""), (int) weight);
    }
    ZoneAllocation allocation = new ZoneAllocation(weights);
    if (weights.isEmpty() || allocation.totalWeight() > ZoneAllocation.TOTAL_WEIGHT) {
      throw new AgreementException(
          "the allocation of zone '"
              + zone
              + "' is empty or its total weight exceeds "
              + ZoneAllocation.TOTAL_WEIGHT);
    }
    return allocation;
  }

  private static ZoneState decodeState(String word) throws AgreementException {
    for (ZoneState state : ZoneState.values()) {
      if (word(state).equals(word)) {
        return state;
      }
    }
    throw new AgreementException("unknown zone state: '" + word + "'");
  }

  static String encode(ZoneOverride override) {
    return JsonWriter.write(
        StoredJson.object(
            "place",
            override.zone(),
            "what",
            word(override.kind()),
            "weight",
            override.maxHomeWeight(),
            "for_ns",
            override.durationNanos(),
            "by",
            override.author(),
            "reason",
            override.reason()));
  }

  static ZoneOverride decodeOverride(String text) throws AgreementException {
    Json json = StoredJson.parse(text);
    return new ZoneOverride(
        json.get("place").asText(""),
        decodeKind(json.get("what").asText("")),
        (int) number(json, "weight"),
        number(json, "for_ns"),
        json.get("by").asText(""),
        json.get("reason").asText(""));
  }

  private static ZoneOverrideKind decodeKind(String word) throws AgreementException {
    for (ZoneOverrideKind kind : ZoneOverrideKind.values()) {
      if (word(kind).equals(word)) {
        return kind;
      }
    }
    throw new AgreementException("unknown override kind: '" + word + "'");
  }

  /** Returns the lower-case name, the stored form of an enum constant. */
  private static String word(Enum<?> constant) {
    return constant.name().toLowerCase(Locale.ROOT);
  }

  private static long number(Json json, String name) throws AgreementException {
    return StoredJson.wholeNumber(json, name, 0, Long.MAX_VALUE);
  }
}
