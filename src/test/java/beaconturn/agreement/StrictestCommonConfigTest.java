package beaconturn.agreement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Random;
import java.util.TreeMap;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

class StrictestCommonConfigTest {
  private static final int PAIRS = 20_000;

  /** Returns a random complete content with two classes and up to four excluded servers. */
  static ConfigContent randomContent(Random random) {
    TreeMap<String, ClassRule> classes = new TreeMap<>();
    for (String name : List.of("read", "write")) {
      classes.put(
          name,
          new ClassRule(
              ClassIdempotency.values()[random.nextInt(3)],
              1_000_000L * random.nextInt(4),
              1_000_000L * random.nextInt(4)));
    }
    TreeSet<String> excluded = new TreeSet<>();
    for (String server : List.of("c1", "c2", "c3", "c4")) {
      if (random.nextInt(4) == 0) {
        excluded.add(server);
      }
    }
    return new ConfigContent(
        classes, 1 + random.nextInt(4), random.nextBoolean(), random.nextInt(3), excluded);
  }

  @Test
  void commonConfigContradictsNeitherVersion() {
    Random random = new Random(1);
    int contradicting = 0;
    for (int i = 0; i < PAIRS; i++) {
      ConfigContent one = randomContent(random);
      ConfigContent other = randomContent(random);
      ConfigContent between = StrictestCommonConfig.between(one, other);
      assertEquals(
          List.of(), ConfigConflicts.violations(between, one), () -> between + " under " + one);
      assertEquals(
          List.of(), ConfigConflicts.violations(between, other), () -> between + " under " + other);
      assertEquals(between, StrictestCommonConfig.between(other, one));
      assertEquals(one, StrictestCommonConfig.between(one, one));
      contradicting += ConfigConflicts.between(one, other).isEmpty() ? 0 : 1;
    }
    assertTrue(contradicting > PAIRS / 2, "too few pairs contradict each other: " + contradicting);
  }

  /** A strict content may only violate exclusions and list versions that the router cannot know. */
  @Test
  void strictConfigNeverRepeatsRequests() {
    Random random = new Random(2);
    for (int i = 0; i < PAIRS; i++) {
      ConfigContent rule = randomContent(random);
      for (String field :
          ConfigConflicts.violations(StrictestCommonConfig.strict(randomContent(random)), rule)) {
        assertTrue(field.startsWith("out.") || field.equals("oldest_list"), field);
      }
    }
  }

  @Test
  void codecRoundTripsVersionsAndRejectsWrongDigestOrUnknownField() throws AgreementException {
    Random random = new Random(3);
    for (int i = 0; i < 500; i++) {
      ConfigVersion version =
          ConfigVersion.of(1 + i, randomContent(random), "who", "why \"so\"", 1_700_000_000_000L);
      String text = ConfigCodec.encode(version);
      assertEquals(version, ConfigCodec.decodeVersion(text));
      String corrupted = text.replace("\"number\":" + (1 + i), "\"number\":" + (2 + i));
      assertFalse(corrupted.equals(text));
      assertThrows(AgreementException.class, () -> ConfigCodec.decodeVersion(corrupted));
    }
    String newer =
        ConfigCodec.encode(ConfigVersion.of(1, ConfigContent.UNSPECIFIED, "a", "b", 0))
            .replace("\"content\":{}", "\"content\":{\"most_hops\":3}");
    assertEquals(
        "content: this build does not know 'most_hops'",
        assertThrows(AgreementException.class, () -> ConfigCodec.decodeVersion(newer))
            .getMessage());
  }
}
