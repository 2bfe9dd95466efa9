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

class SafeGroundTest {
  private static final int PAIRS = 20_000;

  /** Any whole content over two classes and four servers. */
  static Content any(Random random) {
    TreeMap<String, ClassRule> classes = new TreeMap<>();
    for (String name : List.of("read", "write")) {
      classes.put(
          name,
          new ClassRule(
              Effect.values()[random.nextInt(3)],
              1_000_000L * random.nextInt(4),
              1_000_000L * random.nextInt(4)));
    }
    TreeSet<String> out = new TreeSet<>();
    for (String server : List.of("c1", "c2", "c3", "c4")) {
      if (random.nextInt(4) == 0) {
        out.add(server);
      }
    }
    return new Content(
        classes, 1 + random.nextInt(4), random.nextBoolean(), random.nextInt(3), out);
  }

  @Test
  void theGroundBetweenTwoContradictsNeither() {
    Random random = new Random(1);
    int contradicting = 0;
    for (int i = 0; i < PAIRS; i++) {
      Content one = any(random);
      Content other = any(random);
      Content between = SafeGround.between(one, other);
      assertEquals(List.of(), Contradiction.breaks(between, one), () -> between + " under " + one);
      assertEquals(
          List.of(), Contradiction.breaks(between, other), () -> between + " under " + other);
      assertEquals(between, SafeGround.between(other, one));
      assertEquals(one, SafeGround.between(one, one));
      contradicting += Contradiction.between(one, other).isEmpty() ? 0 : 1;
    }
    assertTrue(contradicting > PAIRS / 2, "few of the pairs contradict: " + contradicting);
  }

  /** Whoever knows of no version repeats nothing; only what is held out it cannot know. */
  @Test
  void strictGroundRepeatsNothingWhateverIsInForce() {
    Random random = new Random(2);
    for (int i = 0; i < PAIRS; i++) {
      Content rule = any(random);
      for (String field : Contradiction.breaks(SafeGround.strict(any(random)), rule)) {
        assertTrue(field.startsWith("out.") || field.equals("oldest_list"), field);
      }
    }
  }

  @Test
  void aVersionIsReadAsItWasWrittenAndNothingElseIsTaken() throws AgreementException {
    Random random = new Random(3);
    for (int i = 0; i < 500; i++) {
      Version version = Version.of(1 + i, any(random), "who", "why \"so\"", 1_700_000_000_000L);
      String text = Texts.of(version);
      assertEquals(version, Texts.version(text));
      String spoilt = text.replace("\"number\":" + (1 + i), "\"number\":" + (2 + i));
      assertFalse(spoilt.equals(text));
      assertThrows(AgreementException.class, () -> Texts.version(spoilt));
    }
    String newer =
        Texts.of(Version.of(1, Content.UNSAID, "a", "b", 0))
            .replace("\"content\":{}", "\"content\":{\"most_hops\":3}");
    assertEquals(
        "content: this build does not know 'most_hops'",
        assertThrows(AgreementException.class, () -> Texts.version(newer)).getMessage());
  }
}
