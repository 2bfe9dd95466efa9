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

/** What stands in the store of places, as lines of JSON. */
public final class ZonesCodec {
  private ZonesCodec() {}

  static String of(ZoneReport r) {
    List<Json> places = new ArrayList<>();
    r.places()
        .forEach(
            (place, s) ->
                places.add(
                    StoredJson.object(
                        "place",
                        place,
                        "good",
                        s.good(),
                        "bad",
                        s.bad(),
                        "micros",
                        s.micros(),
                        "listed",
                        s.listed(),
                        "warm",
                        s.warm(),
                        "ejected",
                        s.ejected())));
    return JsonWriter.write(
        StoredJson.object(
            "router",
            r.router(),
            "home",
            r.home(),
            "number",
            r.number(),
            "plan",
            r.plan(),
            "arrivals",
            r.arrivals(),
            "places",
            StoredJson.list(places)));
  }

  static ZoneReport report(String text) throws AgreementException {
    Json json = StoredJson.parse(text);
    SortedMap<String, ZoneObservations> places = new TreeMap<>();
    for (Json p : json.get("places").items()) {
      places.put(
          p.get("place").word(""),
          new ZoneObservations(
              number(p, "good"),
              number(p, "bad"),
              number(p, "micros"),
              (int) number(p, "listed"),
              (int) number(p, "warm"),
              (int) number(p, "ejected")));
    }
    return new ZoneReport(
        json.get("router").word(""),
        json.get("home").word(""),
        number(json, "number"),
        number(json, "plan"),
        number(json, "arrivals"),
        places);
  }

  /** A plan, as it stands there and in the history. */
  public static String of(ZonePlan p) {
    List<Json> rows = new ArrayList<>();
    p.rows()
        .forEach(
            (place, row) -> {
              List<Json> parts = new ArrayList<>();
              row.parts()
                  .forEach((to, part) -> parts.add(StoredJson.object("to", to, "part", part)));
              rows.add(
                  StoredJson.object(
                      "place",
                      place,
                      "state",
                      p.states()
                          .getOrDefault(place, ZonePlan.State.NEAR)
                          .name()
                          .toLowerCase(Locale.ROOT),
                      "flaps",
                      p.flaps().getOrDefault(place, -1) + 1,
                      "parts",
                      StoredJson.list(parts)));
            });
    return JsonWriter.write(
        StoredJson.object(
            "number", p.number(), "rows", StoredJson.list(rows), "why", p.why(), "by", p.by()));
  }

  /** The same, read. */
  public static ZonePlan plan(String text) throws AgreementException {
    Json json = StoredJson.parse(text);
    SortedMap<String, ZoneAllocation> rows = new TreeMap<>();
    SortedMap<String, ZonePlan.State> states = new TreeMap<>();
    SortedMap<String, Integer> flaps = new TreeMap<>();
    for (Json row : json.get("rows").items()) {
      Map<String, Integer> parts = new LinkedHashMap<>();
      for (Json part : row.get("parts").items()) {
        parts.put(
            part.get("to").word(""),
            (int) StoredJson.wholeNumber(part, "part", 0, ZoneAllocation.WHOLE));
      }
      String place = row.get("place").word("");
      if (parts.isEmpty()
          || parts.values().stream().mapToInt(Integer::intValue).sum() > ZoneAllocation.WHOLE) {
        throw new AgreementException("the row of '" + place + "' is empty or more than a whole");
      }
      rows.put(place, new ZoneAllocation(parts));
      states.put(place, state(row.get("state").word("")));
      int flapped = (int) StoredJson.wholeNumber(row, "flaps", 0, Integer.MAX_VALUE) - 1;
      if (flapped >= 0) {
        flaps.put(place, flapped);
      }
    }
    return new ZonePlan(
        number(json, "number"),
        rows,
        states,
        flaps,
        json.get("why").word(""),
        json.get("by").word(""));
  }

  private static ZonePlan.State state(String word) throws AgreementException {
    for (ZonePlan.State state : ZonePlan.State.values()) {
      if (state.name().toLowerCase(Locale.ROOT).equals(word)) {
        return state;
      }
    }
    throw new AgreementException("no state: '" + word + "'");
  }

  static String of(ZoneOverride o) {
    return JsonWriter.write(
        StoredJson.object(
            "place",
            o.place(),
            "what",
            o.what().name().toLowerCase(Locale.ROOT),
            "weight",
            o.weight(),
            "for_ns",
            o.leftNanos(),
            "by",
            o.by(),
            "reason",
            o.reason()));
  }

  static ZoneOverride order(String text) throws AgreementException {
    Json json = StoredJson.parse(text);
    String word = json.get("what").word("");
    for (ZoneOverride.What what : ZoneOverride.What.values()) {
      if (what.name().toLowerCase(Locale.ROOT).equals(word)) {
        return new ZoneOverride(
            json.get("place").word(""),
            what,
            (int) number(json, "weight"),
            number(json, "for_ns"),
            json.get("by").word(""),
            json.get("reason").word(""));
      }
    }
    throw new AgreementException("no order: '" + word + "'");
  }

  private static long number(Json json, String key) throws AgreementException {
    return StoredJson.wholeNumber(json, key, 0, Long.MAX_VALUE);
  }
}
