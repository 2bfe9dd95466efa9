package beaconturn.release;

import beaconturn.agreement.AgreementException;
import beaconturn.agreement.ConfigCodec;
import beaconturn.agreement.ConfigContent;
import beaconturn.agreement.StoredJson;
import beaconturn.protocol.Json;
import java.util.List;

/** Reads typed members from the stored JSON objects of a release. */
final class StoredFields {
  private StoredFields() {}

  /** Reads an integer that is 0 or more. */
  static long number(Json json, String key) throws AgreementException {
    return StoredJson.wholeNumber(json, key, 0, Long.MAX_VALUE);
  }

  /** Reads a decimal number, which is stored as a string; 0 if missing. */
  static double decimal(Json json, String key) {
    return Double.parseDouble(json.get(key).asText("0"));
  }

  /** Reads a string; empty if missing. */
  static String text(Json json, String key) {
    return json.get(key).asText("");
  }

  static List<String> texts(Json list) {
    return list.items().stream().map(item -> item.asText("")).toList();
  }

  /** Reads a configuration content; null if missing. */
  static ConfigContent content(Json json, String key) throws AgreementException {
    return json.get(key) instanceof Json.Members members
        ? ConfigCodec.decodeContent(members)
        : null;
  }

  static InstanceKind kind(Json json) throws AgreementException {
    String name = text(json, "kind");
    return InstanceKind.ofSerializedName(name)
        .orElseThrow(() -> new AgreementException("unknown kind of instance: '" + name + "'"));
  }

  /** Reads the constant with the serialized name under the key. */
  static <E extends SerializedName> E constant(Json json, String key, E[] constants)
      throws AgreementException {
    String name = text(json, key);
    for (E constant : constants) {
      if (constant.serializedName().equals(name)) {
        return constant;
      }
    }
    throw new AgreementException(key + ": '" + name + "' is not a known value");
  }
}
