package beaconturn.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class JsonReaderTest {
  @Test
  void readsEveryKindOfValue() throws ProtocolException {
    Json read =
        JsonReader.read(
            Slice.of(
                " {\"a\":[1,-2.5e3,true,null,\"x\\n\\u0041\\\"\"],"
                    + "\"b\":{\"c\":12345678901234567}, \"e\":[], \"f\":{}} "));
    assertEquals("-2.5e3", read.get("a").items().get(1).asText(""));
    assertEquals("true", read.get("a").items().get(2).asText(""));
    assertEquals("none", read.get("a").items().get(3).asText("none"));
    assertEquals("x\nA\"", read.get("a").items().get(4).asText(""));
    assertEquals("12345678901234567", read.get("b").get("c").asText(""));
    assertEquals(0, read.get("e").items().size());
    assertEquals("none", read.get("missing").get("below").asText("none"));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "{",
        "[1,",
        "{\"a\"}",
        "{\"a\":1,}",
        "[1 2]",
        "01",
        "+1",
        "tru",
        "\"\\x\"",
        "\"\\u12g4\"",
        "\"open",
        "{} {}",
        "1.",
        "\"a\tb\""
      })
  void rejectsMalformedText(String text) {
    assertThrows(ProtocolException.class, () -> JsonReader.read(Slice.of(text)));
  }

  @Test
  void rejectsEveryTruncatedText() {
    String text = "{\"a\":[1,{\"b\":\"c\\n\"}],\"d\":false}";
    for (int i = 0; i < text.length(); i++) {
      String part = text.substring(0, i);
      assertThrows(ProtocolException.class, () -> JsonReader.read(Slice.of(part)), part);
    }
  }

  @Test
  void rejectsDeepNestingWithoutStackOverflow() {
    String text = "[".repeat(100_000);
    assertThrows(ProtocolException.class, () -> JsonReader.read(Slice.of(text)));
  }
}
