package beaconturn.agreement;

import beaconturn.protocol.Json;
import beaconturn.protocol.JsonReader;
import beaconturn.protocol.ProtocolException;
import beaconturn.protocol.Slice;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Builds and reads the JSON of the coordination store and of persisted files. */
public final class StoredJson {
  private StoredJson() {}

  /**
   * Parses a text.
   *
   * @throws AgreementException if the text is not valid JSON
   */
  public static Json parse(String text) throws AgreementException {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    try {
      return JsonReader.read(new Slice(bytes, 0, bytes.length));
    } catch (ProtocolException e) {
      throw new AgreementException("not a text of the agreement: " + e.getMessage());
    }
  }

  /** Returns an array of the values. */
  public static Json list(List<Json> items) {
    return new Json.Items(items);
  }

  /** Returns an array of strings. */
  public static Json texts(List<String> texts) {
    return list(texts.stream().map(text -> (Json) new Json.Text(text)).toList());
  }

  /** Returns an object with the fields given as alternating names and values, in this order. */
  public static Json object(Object... namesAndValues) {
    Map<String, Json> members = new LinkedHashMap<>();
    for (int i = 0; i < namesAndValues.length; i += 2) {
      members.put(namesAndValues[i].toString(), value(namesAndValues[i + 1]));
    }
    return new Json.Members(members);
  }

  /** Converts a boolean, a number or JSON as such, and anything else as its string form. */
  static Json value(Object value) {
    if (value instanceof Json json) {
      return json;
    }
    if (value instanceof Boolean flag) {
      return new Json.Bool(flag);
    }
    if (value instanceof Number number) {
      return new Json.NumberLiteral(number.toString());
    }
    return new Json.Text(value.toString());
  }

  /**
   * Returns the whole number in a field.
   *
   * @throws AgreementException if the field is missing, not a whole number or outside the inclusive
   *     bounds
   */
  public static long wholeNumber(Json json, String name, long min, long max)
      throws AgreementException {
    String word = json.get(name).asText("");
    boolean fitsLong = word.matches("[0-9]{1,18}|[0-8][0-9]{18}");
    if (!fitsLong || Long.parseLong(word) < min || Long.parseLong(word) > max) {
      throw new AgreementException(
          name + ": '" + word + "' is no whole number from " + min + " to " + max);
    }
    return Long.parseLong(word);
  }
}
