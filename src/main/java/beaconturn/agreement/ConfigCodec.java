package beaconturn.agreement;

import beaconturn.protocol.Json;
import beaconturn.protocol.JsonWriter;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Encodes and decodes versions as JSON. Decoding is strict: an unknown field or a value out of
 * range is an error, since a router that applies only a part of a version would contradict the
 * others.
 */
public final class ConfigCodec {
  private static final long MILLI_NANOS = 1_000_000;
  private static final long MAX_TIME_MILLIS = 3_600_000;
  private static final int MAX_ATTEMPTS = 64;
  private static final int DIGEST_BYTES = 16;

  private ConfigCodec() {}

  /** Encodes the version as one line. */
  public static String encode(ConfigVersion version) {
    return JsonWriter.write(
        StoredJson.object(
            "number",
            version.number(),
            "content",
            contentJson(version.content()),
            "author",
            version.author(),
            "reason",
            version.reason(),
            "at_ms",
            version.proposedAtMillis(),
            "digest",
            version.digest()));
  }

  /**
   * Decodes a version.
   *
   * @throws AgreementException if the text is not a valid version or its digest does not match
   */
  public static ConfigVersion decodeVersion(String text) throws AgreementException {
    Json json = StoredJson.parse(text);
    requireOnly(
        json, "version", List.of("number", "content", "author", "reason", "at_ms", "digest"));
    ConfigVersion version =
        ConfigVersion.of(
            StoredJson.wholeNumber(json, "number", 1, Long.MAX_VALUE),
            decodeContent(json.get("content")),
            json.get("author").asText(""),
            json.get("reason").asText(""),
            StoredJson.wholeNumber(json, "at_ms", 0, Long.MAX_VALUE));
    String digest = json.get("digest").asText("");
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

  /** Returns the first half of the SHA-256 of the version's fields, in hexadecimal digits. */
  static String digest(
      long number, ConfigContent content, String author, String reason, long atMillis) {
    String text =
        JsonWriter.write(
            StoredJson.object(
                "number",
                number,
                "content",
                contentJson(content),
                "author",
                author,
                "reason",
                reason,
                "at_ms",
                atMillis));
    try {
      byte[] sha256 =
          MessageDigest.getInstance("SHA-256").digest(text.getBytes(StandardCharsets.UTF_8));
      return HexFormat.of().formatHex(sha256, 0, DIGEST_BYTES);
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }

  /** Encodes a content as JSON without its unspecified fields. */
  public static Json contentJson(ConfigContent content) {
    Map<String, Json> members = new LinkedHashMap<>();
    if (!content.classes().isEmpty()) {
      Map<String, Json> classes = new LinkedHashMap<>();
      content.classes().forEach((name, rule) -> classes.put(name, ruleJson(rule)));
      members.put("classes", new Json.Members(classes));
    }
    if (content.maxAttempts() != null) {
      members.put("most_tries", StoredJson.value(content.maxAttempts()));
    }
    if (content.hedging() != null) {
      members.put("second_copies", StoredJson.value(content.hedging()));
    }
    if (content.minListVersion() > 0) {
      members.put("oldest_list", StoredJson.value(content.minListVersion()));
    }
    if (!content.excludedServers().isEmpty()) {
      members.put("out", StoredJson.texts(List.copyOf(content.excludedServers())));
    }
    return new Json.Members(members);
  }

  private static Json ruleJson(ClassRule rule) {
    Map<String, Json> members = new LinkedHashMap<>();
    if (rule.idempotency() != null) {
      members.put("effect", StoredJson.value(IdempotencyCodec.encode(rule.idempotency())));
    }
    if (rule.deduplicationWindowNanos() != null) {
      members.put("window_ms", StoredJson.value(rule.deduplicationWindowNanos() / MILLI_NANOS));
    }
    if (rule.deadlineNanos() != null) {
      members.put("deadline_ms", StoredJson.value(rule.deadlineNanos() / MILLI_NANOS));
    }
    return new Json.Members(members);
  }

  /**
   * Decodes a content.
   *
   * @throws AgreementException if a field is unknown or a value is out of range
   */
  public static ConfigContent decodeContent(Json json) throws AgreementException {
    requireOnly(
        json, "content", List.of("classes", "most_tries", "second_copies", "oldest_list", "out"));
    SortedMap<String, ClassRule> classes = new TreeMap<>();
    if (json.get("classes") instanceof Json.Members members) {
      for (Map.Entry<String, Json> rule : members.values().entrySet()) {
        classes.put(rule.getKey(), decodeRule(rule.getKey(), rule.getValue()));
      }
    }
    SortedSet<String> excluded = new TreeSet<>();
    json.get("out").items().forEach(server -> excluded.add(server.asText("")));
    return new ConfigContent(
        classes,
        decodeMaxAttempts(json),
        isPresent(json, "second_copies") ? decodeFlag(json, "second_copies") : null,
        decodeMinListVersion(json),
        excluded);
  }

  private static Integer decodeMaxAttempts(Json json) throws AgreementException {
    if (!isPresent(json, "most_tries")) {
      return null;
    }
    return (int) StoredJson.wholeNumber(json, "most_tries", 1, MAX_ATTEMPTS);
  }

  private static long decodeMinListVersion(Json json) throws AgreementException {
    return isPresent(json, "oldest_list")
        ? StoredJson.wholeNumber(json, "oldest_list", 0, Long.MAX_VALUE)
        : 0;
  }

  private static ClassRule decodeRule(String name, Json json) throws AgreementException {
    requireOnly(json, "class " + name, List.of("effect", "window_ms", "deadline_ms"));
    return new ClassRule(
        decodeIdempotency(name, json),
        decodeTimeNanos(json, "window_ms"),
        decodeTimeNanos(json, "deadline_ms"));
  }

  private static ClassIdempotency decodeIdempotency(String name, Json json)
      throws AgreementException {
    if (!isPresent(json, "effect")) {
      return null;
    }
    String word = json.get("effect").asText("");
    ClassIdempotency idempotency = IdempotencyCodec.decode(word);
    if (idempotency == null) {
      throw new AgreementException("class " + name + ": unknown effect '" + word + "'");
    }
    return idempotency;
  }

  private static Long decodeTimeNanos(Json json, String name) throws AgreementException {
    if (!isPresent(json, name)) {
      return null;
    }
    return StoredJson.wholeNumber(json, name, 0, MAX_TIME_MILLIS) * MILLI_NANOS;
  }

  private static boolean isPresent(Json json, String name) {
    return !(json.get(name) instanceof Json.Null);
  }

  private static boolean decodeFlag(Json json, String name) throws AgreementException {
    if (!(json.get(name) instanceof Json.Bool flag)) {
      throw new AgreementException(name + ": neither true nor false");
    }
    return flag.value();
  }

  private static void requireOnly(Json json, String objectName, List<String> knownFields)
      throws AgreementException {
    if (!(json instanceof Json.Members members)) {
      throw new AgreementException(objectName + ": is missing");
    }
    for (String field : members.values().keySet()) {
      if (!knownFields.contains(field)) {
        throw new AgreementException(objectName + ": this build does not know '" + field + "'");
      }
    }
  }
}
