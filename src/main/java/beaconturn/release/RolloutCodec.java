package beaconturn.release;

import beaconturn.agreement.AgreementException;
import beaconturn.agreement.ConfigCodec;
import beaconturn.agreement.ConfigContent;
import beaconturn.agreement.StoredJson;
import beaconturn.protocol.Json;
import beaconturn.protocol.JsonWriter;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/** What stands in the store of a release, as lines of JSON. */
public final class RolloutCodec {
  private RolloutCodec() {}

  static String of(ReleaseFleet fleet) {
    List<Json> groups = new ArrayList<>();
    fleet
        .groups()
        .forEach(
            (kind, group) ->
                groups.add(
                    StoredJson.object(
                        "kind",
                        kind.word(),
                        "most_out",
                        group.mostOut(),
                        "most_out_of_site",
                        group.mostOutOfSite(),
                        "each_per_s",
                        Double.toString(group.capacity().eachPerSecond()),
                        "cores",
                        Double.toString(group.capacity().cores()),
                        "failures",
                        group.capacity().spare() + 1,
                        "sites",
                        StoredJson.list(
                            group.sites().entrySet().stream()
                                .map(
                                    s ->
                                        StoredJson.object(
                                            "site",
                                            s.getKey(),
                                            "parts",
                                            StoredJson.texts(s.getValue())))
                                .toList()))));
    return JsonWriter.write(StoredJson.object("groups", StoredJson.list(groups)));
  }

  static ReleaseFleet fleet(String text) throws AgreementException {
    Map<InstanceKind, ReleaseFleet.Group> groups = new EnumMap<>(InstanceKind.class);
    for (Json group : StoredJson.parse(text).get("groups").items()) {
      SortedMap<String, List<String>> sites = new TreeMap<>();
      group
          .get("sites")
          .items()
          .forEach(s -> sites.put(s.get("site").word(""), words(s.get("parts"))));
      groups.put(
          kind(group),
          new ReleaseFleet.Group(
              (int) number(group, "most_out"),
              (int) number(group, "most_out_of_site"),
              sites,
              new ReleaseFleet.Capacity(
                  decimal(group, "each_per_s"),
                  decimal(group, "cores"),
                  (int) number(group, "failures") - 1)));
    }
    return new ReleaseFleet(groups);
  }

  static String of(DisruptionPermit p) {
    return JsonWriter.write(
        StoredJson.object(
            "number",
            p.number(),
            "kind",
            p.kind().word(),
            "id",
            p.id(),
            "holder",
            p.holder(),
            "reason",
            p.reason()));
  }

  static DisruptionPermit permit(String text) throws AgreementException {
    Json json = StoredJson.parse(text);
    return new DisruptionPermit(
        number(json, "number"),
        kind(json),
        json.get("id").word(""),
        json.get("holder").word(""),
        json.get("reason").word(""));
  }

  static String of(RolloutPlan p) {
    return JsonWriter.write(
        StoredJson.object(
            "number",
            p.number(),
            "kind",
            p.kind().word(),
            "waves",
            StoredJson.list(p.waves().stream().map(StoredJson::texts).toList()),
            "soak_ns",
            p.soak(),
            "samples",
            p.samples(),
            "worse",
            of(p.worse()),
            "limit_ns",
            p.limit(),
            "alone_ns",
            p.alone(),
            "reason",
            p.reason(),
            "settings",
            p.settings() == null ? new Json.Nothing() : ConfigCodec.contentJson(p.settings()),
            "cluster",
            p.cluster()));
  }

  static RolloutPlan plan(String text) throws AgreementException {
    Json json = StoredJson.parse(text);
    return new RolloutPlan(
        number(json, "number"),
        kind(json),
        json.get("waves").items().stream().map(RolloutCodec::words).toList(),
        number(json, "soak_ns"),
        number(json, "samples"),
        bounds(json.get("worse")),
        number(json, "limit_ns"),
        number(json, "alone_ns"),
        json.get("reason").word(""),
        content(json, "settings"),
        json.get("cluster").word(""));
  }

  private static Json of(RegressionBounds b) {
    return StoredJson.object(
        "bad",
        Double.toString(b.bad()),
        "late",
        Double.toString(b.late()),
        "missed",
        Double.toString(b.missed()),
        "avoided",
        Double.toString(b.avoided()),
        "memory",
        Double.toString(b.memory()),
        "slower",
        Double.toString(b.slower()));
  }

  private static RegressionBounds bounds(Json json) {
    return new RegressionBounds(
        decimal(json, "bad"),
        decimal(json, "late"),
        decimal(json, "missed"),
        decimal(json, "avoided"),
        decimal(json, "memory"),
        decimal(json, "slower"));
  }

  private static double decimal(Json json, String key) {
    return Double.parseDouble(json.get(key).word("0"));
  }

  static String of(ConfigChange c) {
    return JsonWriter.write(
        StoredJson.object(
            "number",
            c.number(),
            "before",
            ConfigCodec.contentJson(c.before()),
            "undone",
            c.undone()));
  }

  static ConfigChange changeover(String text) throws AgreementException {
    Json json = StoredJson.parse(text);
    return new ConfigChange(
        number(json, "number"), content(json, "before"), number(json, "undone"));
  }

  private static ConfigContent content(Json json, String key) throws AgreementException {
    return json.get(key) instanceof Json.Members said ? ConfigCodec.decodeContent(said) : null;
  }

  static String of(RolloutState c) {
    return JsonWriter.write(
        StoredJson.object("mode", lower(c.mode()), "why", c.why(), "by", c.by()));
  }

  static RolloutState course(String text) throws AgreementException {
    Json json = StoredJson.parse(text);
    return new RolloutState(
        RolloutState.Mode.valueOf(upper(json, "mode")),
        json.get("why").word(""),
        json.get("by").word(""));
  }

  static String of(RolloutStep s) {
    return JsonWriter.write(
        StoredJson.object(
            "id",
            s.id(),
            "permit",
            s.permit(),
            "phase",
            lower(s.phase()),
            "variant",
            s.variant().word(),
            "agent",
            s.agent(),
            "why",
            s.why(),
            "started",
            s.started() + 1,
            "took_ns",
            s.took()));
  }

  static RolloutStep step(String text) throws AgreementException {
    Json json = StoredJson.parse(text);
    return new RolloutStep(
        json.get("id").word(""),
        number(json, "permit"),
        RolloutStep.Phase.valueOf(upper(json, "phase")),
        InstanceVariant.valueOf(upper(json, "variant")),
        json.get("agent").word(""),
        json.get("why").word(""),
        number(json, "started") - 1,
        number(json, "took_ns"));
  }

  /** What a part has answered, as its agent tells it. */
  public static String of(InstanceSample s) {
    List<Object> members = new ArrayList<>(List.of("process", s.process()));
    s.figures().forEach((figure, value) -> members.addAll(List.of(figure.word(), value)));
    return JsonWriter.write(StoredJson.object(members.toArray()));
  }

  static InstanceSample sample(String text) throws AgreementException {
    Json json = StoredJson.parse(text);
    Map<InstanceMetrics, Long> figures = new EnumMap<>(InstanceMetrics.class);
    for (InstanceMetrics figure : InstanceMetrics.values()) {
      if (!json.get(figure.word()).word("").isEmpty()) {
        figures.put(figure, number(json, figure.word()));
      }
    }
    return new InstanceSample(json.get("process").word(""), figures);
  }

  private static InstanceKind kind(Json json) throws AgreementException {
    InstanceKind kind = InstanceKind.of(json.get("kind").word(""));
    if (kind == null) {
      throw new AgreementException("no kind of part: '" + json.get("kind").word("") + "'");
    }
    return kind;
  }

  private static long number(Json json, String key) throws AgreementException {
    return StoredJson.wholeNumber(json, key, 0, Long.MAX_VALUE);
  }

  private static List<String> words(Json json) {
    return json.items().stream().map(w -> w.word("")).toList();
  }

  private static String upper(Json json, String key) throws AgreementException {
    String word = json.get(key).word("");
    if (!word.matches("[a-z]{2,12}")) {
      throw new AgreementException(key + ": '" + word + "' is no word of a release");
    }
    return word.toUpperCase(Locale.ROOT);
  }

  private static String lower(Enum<?> word) {
    return word.name().toLowerCase(Locale.ROOT);
  }
}
