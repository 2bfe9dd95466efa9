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

  /** Any whole content over two classes and four servers. */
  static ConfigContent any(Random random) {
    TreeMap<String, ClassRule> classes = new TreeMap<>();
    for (String name : List.of("read", "write")) {
      classes.put(
          name,
          new ClassRule(
              ClassIdempotency.values()[random.nextInt(3)],
              1_000_000L * random.nextInt(4),
              1_000_000L * random.nextInt(4)));
    }
    TreeSet<String> out = new TreeSet<>();
    for (String server : List.of("c1", "c2", "c3", "c4")) {
      if (random.nextInt(4) == 0) {
        out.add(server);
      }
    }
    return new ConfigContent(
        classes, 1 + random.nextInt(4), random.nextBoolean(), random.nextInt(3), out);
  }

  @Test
  void theGroundBetweenTwoContradictsNeither() {
    Random random = new Random(1);
    int contradicting = 0;
    for (int i = 0; i < PAIRS; i++) {
      ConfigContent one = any(random);
      ConfigContent other = any(random);
      ConfigContent between = StrictestCommonConfig.between(one, other);
      assertEquals(
          List.of(), ConfigConflicts.violations(between, one), () -> between + " under " + one);
      assertEquals(
          List.of(), ConfigConflicts.violations(between, other), () -> between + " under " + other);
      assertEquals(between, StrictestCommonConfig.between(other, one));
      assertEquals(one, StrictestCommonConfig.between(one, one));
      contradicting += ConfigConflicts.between(one, other).isEmpty() ? 0 : 1;
    }
    assertTrue(contradicting > PAIRS / 2, "few of the pairs contradict: " + contradicting);
  }

  /** Whoever knows of no version repeats nothing; only what is held out it cannot know. */
  @Test
  void strictGroundRepeatsNothingWhateverIsInForce() {
    Random random = new Random(2);
    for (int i = 0; i < PAIRS; i++) {
      ConfigContent rule = any(random);
      for (String field :
          ConfigConflicts.violations(StrictestCommonConfig.strict(any(random)), rule)) {
        assertTrue(field.startsWith("out.") || field.equals("oldest_list"), field);
      }
    }
  }

  @Test
  void aVersionIsReadAsItWasWrittenAndNothingElseIsTaken() throws AgreementException {
    Random random = new Random(3);
    for (int i = 0; i < 500; i++) {
      ConfigVersion version =
          ConfigVersion.of(1 + i, any(random), "who", "why \"so\"", 1_700_000_000_000L);
      String text = ConfigCodec.encode(version);
      assertEquals(version, ConfigCodec.decodeVersion(text));
      String spoilt = text.replace("\"number\":" + (1 + i), "\"number\":" + (2 + i));
      assertFalse(spoilt.equals(text));
      assertThrows(AgreementException.class, () -> ConfigCodec.decodeVersion(spoilt));
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
