package beaconturn.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import beaconturn.protocol.Json;
import beaconturn.protocol.JsonReader;
import beaconturn.protocol.ProtocolException;
import beaconturn.protocol.Slice;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ConfigShapeTest {
  private static final int GENERATED_DOCUMENTS = 2_000;
  private static final int MAX_DEPTH = 4;
  private static final int MAX_VALUES = 4;
  private static final List<String> NAMES = List.of("classes", "known", "name", "aim_stretch");

  /** The second class has no {@code aim_stretch}, which may be absent. */
  private static final String CLASSES =
      """
      {"name":"n0","classes":[
        {"name":"read","target":5,"aim_stretch":1.5},
        {"name":"put","target":7}]}
      """;

  private static Json json(String text) throws ProtocolException {
    return JsonReader.read(Slice.of(text));
  }

  @Test
  void itemsMayLackKeysThatOtherItemsHave() throws ProtocolException {
    assertNull(ConfigShape.firstMissing(json(CLASSES), json(CLASSES)));
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "\"name\":\"n0\",| | name",
        "\"name\":\"n0\"| \"name\":0 | name",
        "\"target\":7| \"t\":7 | classes.1.target",
        "\"target\":7| \"target\":\"7\" | classes.1.target",
        ",\"aim_stretch\":1.5| |",
        "\"put\",\"target\":7| \"put\",\"target\":7,\"aim_stretch\":2 |",
      })
  void whatAllEarlierItemsHaveIsRequired(String replaced, String by, String missing)
      throws ProtocolException {
    String changed = CLASSES.replace(replaced, by == null ? "" : by);
    assertEquals(missing, ConfigShape.firstMissing(json(CLASSES), json(changed)));
  }

  /** Guards against a reload of the unchanged file that is rejected. */
  @Test
  void unchangedDocumentLacksNothing() {
    SplittableRandom random = new SplittableRandom(60);
    for (int i = 0; i < GENERATED_DOCUMENTS; i++) {
      Json document = generate(random, MAX_DEPTH);
      assertNull(ConfigShape.firstMissing(document, document), () -> document.toString());
    }
  }

  private static Json generate(SplittableRandom random, int depth) {
    return switch (random.nextInt(depth == 0 ? 4 : 8)) {
      case 0 -> new Json.Null();
      case 1 -> new Json.Bool(random.nextBoolean());
      case 2 -> new Json.NumberLiteral("7");
      case 3 -> new Json.Text("text");
      case 4, 5 -> new Json.Items(generateItems(random, depth - 1));
      default -> new Json.Members(generateMembers(random, depth - 1));
    };
  }

  private static List<Json> generateItems(SplittableRandom random, int depth) {
    List<Json> items = new ArrayList<>();
    for (int i = random.nextInt(MAX_VALUES); i > 0; i--) {
      items.add(generate(random, depth));
    }
    return items;
  }

  private static Map<String, Json> generateMembers(SplittableRandom random, int depth) {
    Map<String, Json> members = new LinkedHashMap<>();
    for (int i = random.nextInt(MAX_VALUES); i > 0; i--) {
      members.put(NAMES.get(random.nextInt(NAMES.size())), generate(random, depth));
    }
    return members;
  }
}
