package beaconturn.agreement;

import beaconturn.protocol.Json;
import beaconturn.protocol.JsonReader;
import beaconturn.protocol.JsonWriter;
import beaconturn.protocol.ProtocolException;
import beaconturn.protocol.Slice;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Versions as texts, of JSON. What is read is checked whole: a field that this build does not know,
 * or a value out of range, is an error, as a router that follows half of a version would contradict
 * the others.
 */
public final class ConfigCodec {
  private static final long MILLI = 1_000_000;
  private static final long LONGEST_MILLIS = 3_600_000;
  private static final int MOST_TRIES = 64;
  private static final int DIGEST_LENGTH = 16;

  private ConfigCodec() {}

  /** The version as one line. */
  public static String of(ConfigVersion v) {
    return JsonWriter.write(
        object(
            "number",
            v.number(),
            "content",
            json(v.content()),
            "author",
            v.author(),
            "reason",
            v.reason(),
            "at_ms",
            v.atMillis(),
            "digest",
            v.digest()));
  }

  /** The version of a line; its digest must be that of its text. */
  public static ConfigVersion version(String text) throws AgreementException {
    Json json = parse(text);
    only(json, "version", List.of("number", "content", "author", "reason", "at_ms", "digest"));
    ConfigVersion version =
        ConfigVersion.of(
            whole(json, "number", 1, Long.MAX_VALUE),
            content(json.get("content")),
            json.get("author").word(""),
            json.get("reason").word(""),
            whole(json, "at_ms", 0, Long.MAX_VALUE));
    String digest = json.get("digest").word("");
    if (!digest.equals(version.digest())) {
      throw new AgreementException(
          "version "
              + version.number()
              + " has digest "
              + digest
              + ", its text "
              + version.digest());
    }
    return version;
  }

  /** The first half of the SHA-256 of all that a version says, in hexadecimal digits. */
  static String digest(
      long number, ConfigContent content, String author, String reason, long atMillis) {
    String text =
        JsonWriter.write(
            object(
                "number",
                number,
                "content",
                json(content),
                "author",
                author,
                "reason",
                reason,
                "at_ms",
                atMillis));
    try {
      byte[] sum =
          MessageDigest.getInstance("SHA-256").digest(text.getBytes(StandardCharsets.UTF_8));
      return HexFormat.of().formatHex(sum, 0, DIGEST_LENGTH);
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }

  /** A content as JSON; what is not said does not stand there. */
  public static Json json(ConfigContent content) {
    Map<String, Json> all = new LinkedHashMap<>();
    if (!content.classes().isEmpty()) {
      Map<String, Json> classes = new LinkedHashMap<>();
      content.classes().forEach((name, rule) -> classes.put(name, json(rule)));
      all.put("classes", new Json.Members(classes));
    }
    if (content.mostTries() != null) {
      all.put("most_tries", value(content.mostTries()));
    }
    if (content.secondCopies() != null) {
      all.put("second_copies", value(content.secondCopies()));
    }
    if (content.oldestList() > 0) {
      all.put("oldest_list", value(content.oldestList()));
    }
    if (!content.out().isEmpty()) {
      all.put("out", texts(List.copyOf(content.out())));
    }
    return new Json.Members(all);
  }

  private static Json json(ClassRule rule) {
    Map<String, Json> all = new LinkedHashMap<>();
    if (rule.effect() != null) {
      all.put("effect", value(rule.effect().name().toLowerCase(Locale.ROOT)));
    }
    if (rule.window() != null) {
      all.put("window_ms", value(rule.window() / MILLI));
    }
    if (rule.deadline() != null) {
      all.put("deadline_ms", value(rule.deadline() / MILLI));
    }
    return new Json.Members(all);
  }

  /** The content of a JSON object. */
  /** Of a content as it stands in the store. */
  public static ConfigContent content(Json json) throws AgreementException {
    only(json, "content", List.of("classes", "most_tries", "second_copies", "oldest_list", "out"));
    SortedMap<String, ClassRule> classes = new TreeMap<>();
    if (json.get("classes") instanceof Json.Members members) {
      for (Map.Entry<String, Json> e : members.values().entrySet()) {
        classes.put(e.getKey(), rule(e.getKey(), e.getValue()));
      }
    }
    SortedSet<String> out = new TreeSet<>();
    json.get("out").items().forEach(server -> out.add(server.word("")));
    return new ConfigContent(
        classes,
        given(json, "most_tries") ? (Integer) (int) whole(json, "most_tries", 1, MOST_TRIES) : null,
        given(json, "second_copies") ? flag(json, "second_copies") : null,
        given(json, "oldest_list") ? whole(json, "oldest_list", 0, Long.MAX_VALUE) : 0,
        out);
  }

  private static ClassRule rule(String name, Json json) throws AgreementException {
    only(json, "class " + name, List.of("effect", "window_ms", "deadline_ms"));
    ClassIdempotency effect = null;
    if (given(json, "effect")) {
      String word = json.get("effect").word("");
      try {
        effect = ClassIdempotency.valueOf(word.toUpperCase(Locale.ROOT));
      } catch (IllegalArgumentException e) {
        throw new AgreementException("class " + name + ": unknown effect '" + word + "'");
      }
    }
    return new ClassRule(effect, millis(json, "window_ms"), millis(json, "deadline_ms"));
  }

  private static Long millis(Json json, String key) throws AgreementException {
    return given(json, key) ? (Long) (whole(json, key, 0, LONGEST_MILLIS) * MILLI) : null;
  }

  /** The JSON value of a text. */
  public static Json parse(String text) throws AgreementException {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    try {
      return JsonReader.read(new Slice(bytes, 0, bytes.length));
    } catch (ProtocolException e) {
      throw new AgreementException("not a text of the agreement: " + e.getMessage());
    }
  }

  /** A list of values. */
  public static Json list(List<Json> items) {
    return new Json.Items(items);
  }

  /** A list of texts. */
  public static Json texts(List<String> words) {
    return list(words.stream().map(w -> (Json) new Json.Text(w)).toList());
  }

  /** An object of names and values by turns. */
  public static Json object(Object... pairs) {
    Map<String, Json> members = new LinkedHashMap<>();
    for (int i = 0; i < pairs.length; i += 2) {
      members.put(pairs[i].toString(), value(pairs[i + 1]));
    }
    return new Json.Members(members);
  }

  private static Json value(Object value) {
    return value instanceof Json json
        ? json
        : value instanceof Boolean flag
            ? new Json.Flag(flag)
            : value instanceof Number figure
                ? new Json.Figure(figure.toString())
                : new Json.Text(value.toString());
  }

  private static boolean given(Json json, String key) {
    return !(json.get(key) instanceof Json.Nothing);
  }

  /** The whole number of that name, within bounds. */
  public static long whole(Json json, String key, long least, long most) throws AgreementException {
    String word = json.get(key).word("");
    if (!word.matches("[0-9]{1,18}|[0-8][0-9]{18}")
        || Long.parseLong(word) < least
        || Long.parseLong(word) > most) {
      throw new AgreementException(
          key + ": '" + word + "' is no whole number from " + least + " to " + most);
    }
    return Long.parseLong(word);
  }

  private static boolean flag(Json json, String key) throws AgreementException {
    if (!(json.get(key) instanceof Json.Flag flag)) {
      throw new AgreementException(key + ": neither true nor false");
    }
    return flag.value();
  }

  private static void only(Json json, String what, List<String> known) throws AgreementException {
    if (!(json instanceof Json.Members members)) {
      throw new AgreementException(what + ": is missing");
    }
    for (String key : members.values().keySet()) {
      if (!known.contains(key)) {
        throw new AgreementException(what + ": this build does not know '" + key + "'");
      }
    }
  }
}
