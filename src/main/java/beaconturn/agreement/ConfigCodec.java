package beaconturn.agreement;

import beaconturn.protocol.Json;
import beaconturn.protocol.JsonWriter;
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
  public static String encode(ConfigVersion v) {
    return JsonWriter.write(
        StoredJson.object(
            "number",
            v.number(),
            "content",
            contentJson(v.content()),
            "author",
            v.author(),
            "reason",
            v.reason(),
            "at_ms",
            v.proposedAtMillis(),
            "digest",
            v.digest()));
  }

  /** The version of a line; its digest must be that of its text. */
  public static ConfigVersion decodeVersion(String text) throws AgreementException {
    Json contentJson = StoredJson.parse(text);
    only(
        contentJson,
        "version",
        List.of("number", "content", "author", "reason", "at_ms", "digest"));
    ConfigVersion decodeVersion =
        ConfigVersion.of(
            StoredJson.wholeNumber(contentJson, "number", 1, Long.MAX_VALUE),
            decodeContent(contentJson.get("content")),
            contentJson.get("author").word(""),
            contentJson.get("reason").word(""),
            StoredJson.wholeNumber(contentJson, "at_ms", 0, Long.MAX_VALUE));
    String digest = contentJson.get("digest").word("");
    if (!digest.equals(decodeVersion.digest())) {
      throw new AgreementException(
          "version "
              + decodeVersion.number()
              + " has digest "
              + digest
              + ", its text "
              + decodeVersion.digest());
    }
    return decodeVersion;
  }

  /** The first half of the SHA-256 of all that a version says, in hexadecimal digits. */
  static String digest(
      long number, ConfigContent decodeContent, String author, String reason, long atMillis) {
    String text =
        JsonWriter.write(
            StoredJson.object(
                "number",
                number,
                "content",
                contentJson(decodeContent),
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
  public static Json contentJson(ConfigContent decodeContent) {
    Map<String, Json> all = new LinkedHashMap<>();
    if (!decodeContent.classes().isEmpty()) {
      Map<String, Json> classes = new LinkedHashMap<>();
      decodeContent.classes().forEach((name, rule) -> classes.put(name, contentJson(rule)));
      all.put("classes", new Json.Members(classes));
    }
    if (decodeContent.maxAttempts() != null) {
      all.put("most_tries", StoredJson.value(decodeContent.maxAttempts()));
    }
    if (decodeContent.hedging() != null) {
      all.put("second_copies", StoredJson.value(decodeContent.hedging()));
    }
    if (decodeContent.minListVersion() > 0) {
      all.put("oldest_list", StoredJson.value(decodeContent.minListVersion()));
    }
    if (!decodeContent.excludedServers().isEmpty()) {
      all.put("out", StoredJson.texts(List.copyOf(decodeContent.excludedServers())));
    }
    return new Json.Members(all);
  }

  private static Json contentJson(ClassRule rule) {
    Map<String, Json> all = new LinkedHashMap<>();
    if (rule.idempotency() != null) {
      all.put("effect", StoredJson.value(rule.idempotency().name().toLowerCase(Locale.ROOT)));
    }
    if (rule.deduplicationWindowNanos() != null) {
      all.put("window_ms", StoredJson.value(rule.deduplicationWindowNanos() / MILLI));
    }
    if (rule.deadlineNanos() != null) {
      all.put("deadline_ms", StoredJson.value(rule.deadlineNanos() / MILLI));
    }
    return new Json.Members(all);
  }

  /** The content of a JSON object. */
  /** Of a content as it stands in the store. */
  public static ConfigContent decodeContent(Json contentJson) throws AgreementException {
    only(
        contentJson,
        "content",
        List.of("classes", "most_tries", "second_copies", "oldest_list", "out"));
    SortedMap<String, ClassRule> classes = new TreeMap<>();
    if (contentJson.get("classes") instanceof Json.Members members) {
      for (Map.Entry<String, Json> e : members.values().entrySet()) {
        classes.put(e.getKey(), rule(e.getKey(), e.getValue()));
      }
    }
    SortedSet<String> out = new TreeSet<>();
    contentJson.get("out").items().forEach(server -> out.add(server.word("")));
    return new ConfigContent(
        classes,
        given(contentJson, "most_tries")
            ? (Integer) (int) StoredJson.wholeNumber(contentJson, "most_tries", 1, MOST_TRIES)
            : null,
        given(contentJson, "second_copies") ? flag(contentJson, "second_copies") : null,
        given(contentJson, "oldest_list")
            ? StoredJson.wholeNumber(contentJson, "oldest_list", 0, Long.MAX_VALUE)
            : 0,
        out);
  }

  private static ClassRule rule(String name, Json contentJson) throws AgreementException {
    only(contentJson, "class " + name, List.of("effect", "window_ms", "deadline_ms"));
    ClassIdempotency effect = null;
    if (given(contentJson, "effect")) {
      String word = contentJson.get("effect").word("");
      try {
        effect = ClassIdempotency.valueOf(word.toUpperCase(Locale.ROOT));
      } catch (IllegalArgumentException e) {
        throw new AgreementException("class " + name + ": unknown effect '" + word + "'");
      }
    }
    return new ClassRule(
        effect, millis(contentJson, "window_ms"), millis(contentJson, "deadline_ms"));
  }

  private static Long millis(Json contentJson, String key) throws AgreementException {
    return given(contentJson, key)
        ? (Long) (StoredJson.wholeNumber(contentJson, key, 0, LONGEST_MILLIS) * MILLI)
        : null;
  }

  private static boolean given(Json contentJson, String key) {
    return !(contentJson.get(key) instanceof Json.Nothing);
  }

  private static boolean flag(Json contentJson, String key) throws AgreementException {
    if (!(contentJson.get(key) instanceof Json.Flag flag)) {
      throw new AgreementException(key + ": neither true nor false");
    }
    return flag.value();
  }

  private static void only(Json contentJson, String what, List<String> known)
      throws AgreementException {
    if (!(contentJson instanceof Json.Members members)) {
      throw new AgreementException(what + ": is missing");
    }
    for (String key : members.values().keySet()) {
      if (!known.contains(key)) {
        throw new AgreementException(what + ": this build does not know '" + key + "'");
      }
    }
  }
}
