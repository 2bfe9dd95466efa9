package beaconturn.release;

import beaconturn.agreement.AgreementException;
import beaconturn.agreement.ConfigCodec;
import beaconturn.agreement.ConfigContent;
import beaconturn.agreement.StoredJson;
import beaconturn.protocol.Json;
import java.util.List;

/** Reads members of JSON objects that the store holds of a release. */
final class StoredFields {
  private StoredFields() {}

  /** A whole number from 0. */
  static long number(Json json, String key) throws AgreementException {
    return StoredJson.wholeNumber(json, key, 0, Long.MAX_VALUE);
  }

  /** A decimal number, which is stored as a text; 0 where it is missing. */
  static double decimal(Json json, String key) {
    return Double.parseDouble(json.get(key).word("0"));
  }

  /** A text; empty where it is missing. */
  static String text(Json json, String key) {
    return json.get(key).word("");
  }

  /** The texts of a list. */
  static List<String> texts(Json list) {
    return list.items().stream().map(item -> item.word("")).toList();
  }

  /** A configuration content, or null where it is missing. */
  static ConfigContent content(Json json, String key) throws AgreementException {
    return json.get(key) instanceof Json.Members members
        ? ConfigCodec.decodeContent(members)
        : null;
  }

  /** The kind of an instance. */
  static InstanceKind kind(Json json) throws AgreementException {
    String word = text(json, "kind");
    return InstanceKind.ofSerializedName(word)
        .orElseThrow(() -> new AgreementException("no kind of part: '" + word + "'"));
  }

  /** The constant whose word stands under the key. */
  static <E extends SerializedName> E constant(Json json, String key, E[] constants)
      throws AgreementException {
    String word = text(json, key);
    for (E constant : constants) {
      if (constant.serializedName().equals(word)) {
        return constant;
      }
    }
    throw new AgreementException(key + ": '" + word + "' is no word of a release");
  }
}
