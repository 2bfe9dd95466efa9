package beaconturn.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class JsonWriterTest {
  @ParameterizedTest
  @ValueSource(
      strings = {
        "{}",
        "[]",
        "null",
        "true",
        "{\"a\":[1,2.5e3,{\"b\":\"x\\\\y\\\"z\\u0001\"}],\"c\":false}"
      })
  void readingAndWritingPreservesText(String text) throws ProtocolException {
    Json value = JsonReader.read(Slice.of(text));
    assertEquals(text, JsonWriter.write(value));
  }
}
