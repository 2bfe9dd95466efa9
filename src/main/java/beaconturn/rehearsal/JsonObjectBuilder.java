package beaconturn.rehearsal;

import beaconturn.protocol.Json;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Builds a JSON object whose members keep the order in which they were put. */
final class JsonObjectBuilder {
  private final Map<String, Json> members = new LinkedHashMap<>();

  JsonObjectBuilder put(String name, Json value) {
    members.put(name, value);
    return this;
  }

  JsonObjectBuilder put(String name, String value) {
    return put(name, new Json.Text(value));
  }

  JsonObjectBuilder put(String name, boolean value) {
    return put(name, new Json.Bool(value));
  }

  JsonObjectBuilder put(String name, long value) {
    return put(name, new Json.NumberLiteral(Long.toString(value)));
  }

  JsonObjectBuilder put(String name, double value) {
    return put(name, new Json.NumberLiteral(Double.toString(value)));
  }

  JsonObjectBuilder put(String name, List<Json> values) {
    return put(name, new Json.Items(values));
  }

  JsonObjectBuilder putStrings(String name, List<String> values) {
    return put(name, values.stream().map(value -> (Json) new Json.Text(value)).toList());
  }

  Json build() {
    return new Json.Members(members);
  }
}
