package beaconturn.agreement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.TreeMap;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/**
 * Guards the encoding of stored data: during a rollout routers of two builds share one store, and
 * digests are computed from the encoded text. The constants were written by an earlier build.
 */
class ConfigCodecTest {
  private static final long MILLI_NANOS = 1_000_000;

  /** A version with a value in every field. */
  static final String FULL =
      """
          {"number":42,"content":{"classes":{"get":{"effect":"safe","deadl\
          ine_ms":250},"incr":{"effect":"keyed","window_ms":5000},"pay \\"n\
          ow\\"":{"effect":"unsafe","window_ms":0,"deadline_ms":3600000},"r\
          est":{}},"most_tries":3,"second_copies":true,"oldest_list":17,"o\
          ut":["c10","c2"]},"author":"ops@example","reason":"two servers o\
          ut, \u00e9tage 3\\u000a","at_ms":1700000000123,"digest":"e0d180b3d6776\
          6c4539f6217c8083d66"}""";

  /** A version with an unspecified content. */
  static final String EMPTY =
      """
          {"number":1,"content":{},"author":"op","reason":"","at_ms":0,"di\
          gest":"a313cdd9e4ca3beb5e32e9f6292994fb"}""";

  private static final String MEMBER =
      """
          {"name":"r1","incarnation":"1f-77","yes":42,"no":41,"why":"too f\
          ew are left","acts":40}""";
  private static final String ENDPOINTS =
      """
          {"in":[{"id":"c1","started":1700000000000},{"id":"c2","started":\
          0}],"out":[{"id":"c3","why":"left out"}]}""";

  static ConfigVersion full() {
    TreeMap<String, ClassRule> classes = new TreeMap<>();
    classes.put("get", new ClassRule(ClassIdempotency.IDEMPOTENT, null, 250 * MILLI_NANOS));
    classes.put("incr", new ClassRule(ClassIdempotency.IDEMPOTENCY_KEY, 5000 * MILLI_NANOS, null));
    classes.put(
        "pay \"now\"", new ClassRule(ClassIdempotency.NON_IDEMPOTENT, 0L, 3_600_000 * MILLI_NANOS));
    classes.put("rest", ClassRule.UNSPECIFIED);
    return ConfigVersion.of(
        42,
        new ConfigContent(classes, 3, true, 17, new TreeSet<>(List.of("c2", "c10"))),
        "ops@example",
        "two servers out, \u00e9tage 3\n",
        1_700_000_000_123L);
  }

  static ConfigVersion empty() {
    return ConfigVersion.of(1, ConfigContent.UNSPECIFIED, "op", "", 0);
  }

  @Test
  void versionEncodingIsUnchanged() throws AgreementException {
    assertEquals(FULL, ConfigCodec.encode(full()));
    assertEquals(full(), ConfigCodec.decodeVersion(FULL));
    assertEquals(EMPTY, ConfigCodec.encode(empty()));
    assertEquals(empty(), ConfigCodec.decodeVersion(EMPTY));
  }

  /** Earlier builds ignored the case of the effect, so a store may hold any case. */
  @Test
  void effectIsDecodedIgnoringCaseAndUnknownEffectIsRejected() throws AgreementException {
    for (String word : List.of("safe", "Safe", "SAFE")) {
      assertEquals(ClassIdempotency.IDEMPOTENT, effect(word));
    }
    assertEquals(ClassIdempotency.IDEMPOTENCY_KEY, effect("Keyed"));
    assertEquals(ClassIdempotency.NON_IDEMPOTENT, effect("unsafE"));
    for (String word : List.of("", "idempotent", "IDEMPOTENT", "non_idempotent", "safe ")) {
      assertEquals(
          "class get: unknown effect '" + word + "'",
          assertThrows(AgreementException.class, () -> effect(word)).getMessage());
    }
  }

  private static ClassIdempotency effect(String word) throws AgreementException {
    String text = "{\"classes\":{\"get\":{\"effect\":\"" + word + "\"}}}";
    return ConfigCodec.decodeContent(StoredJson.parse(text)).classes().get("get").idempotency();
  }

  @Test
  void memberRecordEncodingIsUnchanged() throws AgreementException {
    MemberRecord member = new MemberRecord("r1", "1f-77", 42, 41, "too few are left", 40);
    assertEquals(MEMBER, member.encode());
    assertEquals(member, MemberRecord.decode(MEMBER));
  }

  @Test
  void endpointViewEncodingIsUnchanged() throws AgreementException {
    TreeMap<String, Long> usable = new TreeMap<>();
    usable.put("c1", 1_700_000_000_000L);
    usable.put("c2", 0L);
    TreeMap<String, String> unusable = new TreeMap<>();
    unusable.put("c3", "left out");
    EndpointView view = new EndpointView(usable, unusable);
    assertEquals(ENDPOINTS, view.encode());
    assertEquals(view, EndpointView.decode(ENDPOINTS));
  }

  @Test
  void persistedConfigEncodingIsUnchanged() throws AgreementException {
    assertEquals(PERSISTED, persisted().encode());
    assertEquals(persisted(), PersistedConfig.decode(PERSISTED));
    assertEquals(PERSISTED_NOTHING, PersistedConfig.EMPTY.encode());
    assertEquals(PersistedConfig.EMPTY, PersistedConfig.decode(PERSISTED_NOTHING));
  }

  private static final String PERSISTED =
      """
          {"identity":"a1","cluster":"c77","revision":9000000000,"joined":\
          true,"acting":"{\\"number\\":1,\\"content\\":{},\\"author\\":\\"op\\",\\"\
          reason\\":\\"\\",\\"at_ms\\":0,\\"digest\\":\\"a313cdd9e4ca3beb5e32e9f62\
          92994fb\\"}","next":"{\\"number\\":42,\\"content\\":{\\"classes\\":{\\"g\
          et\\":{\\"effect\\":\\"safe\\",\\"deadline_ms\\":250},\\"incr\\":{\\"effec\
          t\\":\\"keyed\\",\\"window_ms\\":5000},\\"pay \\\\\\"now\\\\\\"\\":{\\"effect\\\
          ":\\"unsafe\\",\\"window_ms\\":0,\\"deadline_ms\\":3600000},\\"rest\\":{\
          }},\\"most_tries\\":3,\\"second_copies\\":true,\\"oldest_list\\":17,\\"\
          out\\":[\\"c10\\",\\"c2\\"]},\\"author\\":\\"ops@example\\",\\"reason\\":\\"\
          two servers out, \u00e9tage 3\\\\u000a\\",\\"at_ms\\":1700000000123,\\"dige\
          st\\":\\"e0d180b3d67766c4539f6217c8083d66\\"}"}""";
  private static final String PERSISTED_NOTHING =
      """
          {"identity":"","cluster":"","revision":0,"joined":false,"acting"\
          :null,"next":null}""";

  private static PersistedConfig persisted() {
    return new PersistedConfig("a1", "c77", 9_000_000_000L, true, empty(), full());
  }
}
