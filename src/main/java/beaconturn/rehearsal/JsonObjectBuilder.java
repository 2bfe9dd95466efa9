package beaconturn.rehearsal;

import beaconturn.protocol.Json;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A builder of JSON objects whose members keep the order in which they were put. */
final class JsonObjectBuilder {
  private final Map<String, Json> members = new LinkedHashMap<>();

  /** Puts a value that is JSON already. */
  JsonObjectBuilder put(String name, Json value) {
    members.put(name, value);
    return this;
  }

  /** Puts a string. */
  JsonObjectBuilder put(String name, String value) {
    return put(name, new Json.Text(value));
  }

  /** Puts a boolean. */
  JsonObjectBuilder put(String name, boolean value) {
    return put(name, new Json.Bool(value));
  }

  /** Puts an integer. */
  JsonObjectBuilder put(String name, long value) {
    return put(name, new Json.NumberLiteral(Long.toString(value)));
  }

  /** Puts a number. */
  JsonObjectBuilder put(String name, double value) {
    return put(name, new Json.NumberLiteral(Double.toString(value)));
  }

  /** Puts an array. */
  JsonObjectBuilder put(String name, List<Json> values) {
    return put(name, new Json.Items(values));
  }

  /** Puts an array of strings. */
  JsonObjectBuilder putStrings(String name, List<String> values) {
    return put(name, values.stream().map(v -> (Json) new Json.Text(v)).toList());
  }

  /** Returns the object with what has been put so far. */
  Json build() {
    return new Json.Members(members);
  }
}
