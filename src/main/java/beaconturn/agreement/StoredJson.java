package beaconturn.agreement;

import beaconturn.protocol.Json;
import beaconturn.protocol.JsonReader;
import beaconturn.protocol.ProtocolException;
import beaconturn.protocol.Slice;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Builds and reads the JSON texts that stand in the coordination store and in persisted files. */
public final class StoredJson {
  private StoredJson() {}

  /**
   * The JSON value of a text.
   *
   * @throws AgreementException if it is no JSON
   */
  public static Json parse(String text) throws AgreementException {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    try {
      return JsonReader.read(new Slice(bytes, 0, bytes.length));
    } catch (ProtocolException e) {
      throw new AgreementException("not a text of the agreement: " + e.getMessage());
    }
  }

  /** A list of values. */
  public static Json list(List<Json> items) {
    return new Json.Items(items);
  }

  /** A list of texts. */
  public static Json texts(List<String> texts) {
    return list(texts.stream().map(text -> (Json) new Json.Text(text)).toList());
  }

  /** An object of alternating names and values, in this order. */
  public static Json object(Object... namesAndValues) {
    Map<String, Json> members = new LinkedHashMap<>();
    for (int i = 0; i < namesAndValues.length; i += 2) {
      members.put(namesAndValues[i].toString(), value(namesAndValues[i + 1]));
    }
    return new Json.Members(members);
  }

  /** JSON as it is, a flag, a number, or the text of anything else. */
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
   * The whole number of a name.
   *
   * @throws AgreementException if it is missing, no whole number, or not within the bounds, both of
   *     which are allowed
   */
  public static long wholeNumber(Json json, String name, long min, long max)
      throws AgreementException {
    String word = json.get(name).word("");
    boolean fitsLong = word.matches("[0-9]{1,18}|[0-8][0-9]{18}");
    if (!fitsLong || Long.parseLong(word) < min || Long.parseLong(word) > max) {
      throw new AgreementException(
          name + ": '" + word + "' is no whole number from " + min + " to " + max);
    }
    return Long.parseLong(word);
  }
}
