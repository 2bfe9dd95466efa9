package beaconturn.release;

import beaconturn.agreement.AgreementException;
import beaconturn.agreement.Content;
import beaconturn.agreement.Texts;
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
public final class ReleaseTexts {
  private ReleaseTexts() {}

  static String of(Fleet fleet) {
    List<Json> groups = new ArrayList<>();
    fleet
        .groups()
        .forEach(
            (kind, group) ->
                groups.add(
                    Texts.object(
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
                        Texts.list(
                            group.sites().entrySet().stream()
                                .map(
                                    s ->
                                        Texts.object(
                                            "site", s.getKey(), "parts", Texts.texts(s.getValue())))
                                .toList()))));
    return JsonWriter.write(Texts.object("groups", Texts.list(groups)));
  }

  static Fleet fleet(String text) throws AgreementException {
    Map<Kind, Fleet.Group> groups = new EnumMap<>(Kind.class);
    for (Json group : Texts.parse(text).get("groups").items()) {
      SortedMap<String, List<String>> sites = new TreeMap<>();
      group
          .get("sites")
          .items()
          .forEach(s -> sites.put(s.get("site").word(""), words(s.get("parts"))));
      groups.put(
          kind(group),
          new Fleet.Group(
              (int) number(group, "most_out"),
              (int) number(group, "most_out_of_site"),
              sites,
              new Fleet.Capacity(
                  decimal(group, "each_per_s"),
                  decimal(group, "cores"),
                  (int) number(group, "failures") - 1)));
    }
    return new Fleet(groups);
  }

  static String of(Permit p) {
    return JsonWriter.write(
        Texts.object(
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

  static Permit permit(String text) throws AgreementException {
    Json json = Texts.parse(text);
    return new Permit(
        number(json, "number"),
        kind(json),
        json.get("id").word(""),
        json.get("holder").word(""),
        json.get("reason").word(""));
  }

  static String of(Plan p) {
    return JsonWriter.write(
        Texts.object(
            "number",
            p.number(),
            "kind",
            p.kind().word(),
            "waves",
            Texts.list(p.waves().stream().map(Texts::texts).toList()),
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
            p.settings() == null ? new Json.Nothing() : Texts.json(p.settings()),
            "cluster",
            p.cluster()));
  }

  static Plan plan(String text) throws AgreementException {
    Json json = Texts.parse(text);
    return new Plan(
        number(json, "number"),
        kind(json),
        json.get("waves").items().stream().map(ReleaseTexts::words).toList(),
        number(json, "soak_ns"),
        number(json, "samples"),
        bounds(json.get("worse")),
        number(json, "limit_ns"),
        number(json, "alone_ns"),
        json.get("reason").word(""),
        content(json, "settings"),
        json.get("cluster").word(""));
  }

  private static Json of(Bounds b) {
    return Texts.object(
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

  private static Bounds bounds(Json json) {
    return new Bounds(
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

  static String of(Changeover c) {
    return JsonWriter.write(
        Texts.object("number", c.number(), "before", Texts.json(c.before()), "undone", c.undone()));
  }

  static Changeover changeover(String text) throws AgreementException {
    Json json = Texts.parse(text);
    return new Changeover(number(json, "number"), content(json, "before"), number(json, "undone"));
  }

  private static Content content(Json json, String key) throws AgreementException {
    return json.get(key) instanceof Json.Members said ? Texts.content(said) : null;
  }

  static String of(Course c) {
    return JsonWriter.write(Texts.object("mode", lower(c.mode()), "why", c.why(), "by", c.by()));
  }

  static Course course(String text) throws AgreementException {
    Json json = Texts.parse(text);
    return new Course(
        Course.Mode.valueOf(upper(json, "mode")),
        json.get("why").word(""),
        json.get("by").word(""));
  }

  static String of(Step s) {
    return JsonWriter.write(
        Texts.object(
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

  static Step step(String text) throws AgreementException {
    Json json = Texts.parse(text);
    return new Step(
        json.get("id").word(""),
        number(json, "permit"),
        Step.Phase.valueOf(upper(json, "phase")),
        Variant.valueOf(upper(json, "variant")),
        json.get("agent").word(""),
        json.get("why").word(""),
        number(json, "started") - 1,
        number(json, "took_ns"));
  }

  /** What a part has answered, as its agent tells it. */
  public static String of(Sample s) {
    List<Object> members = new ArrayList<>(List.of("process", s.process()));
    s.figures().forEach((figure, value) -> members.addAll(List.of(figure.word(), value)));
    return JsonWriter.write(Texts.object(members.toArray()));
  }

  static Sample sample(String text) throws AgreementException {
    Json json = Texts.parse(text);
    Map<Figure, Long> figures = new EnumMap<>(Figure.class);
    for (Figure figure : Figure.values()) {
      if (!json.get(figure.word()).word("").isEmpty()) {
        figures.put(figure, number(json, figure.word()));
      }
    }
    return new Sample(json.get("process").word(""), figures);
  }

  private static Kind kind(Json json) throws AgreementException {
    Kind kind = Kind.of(json.get("kind").word(""));
    if (kind == null) {
      throw new AgreementException("no kind of part: '" + json.get("kind").word("") + "'");
    }
    return kind;
  }

  private static long number(Json json, String key) throws AgreementException {
    return Texts.whole(json, key, 0, Long.MAX_VALUE);
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
