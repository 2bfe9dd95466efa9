package beaconturn.protocol;

import java.util.List;
import java.util.Map;

/** A JSON value. Must not be modified after it has been read. */
public sealed interface Json {
  /** An object; members keep their order. */
  record Members(Map<String, Json> values) implements Json {}

  /** An array. */
  record Items(List<Json> values) implements Json {}

  /** A string. */
  record Text(String value) implements Json {}

  /** A number as written, so that long numbers lose no digits. */
  record NumberLiteral(String digits) implements Json {}

  /** A boolean. */
  record Bool(boolean value) implements Json {}

  record Null() implements Json {}

  /** The member of that name; {@link Null} if there is none or this is not an object. */
  default Json get(String name) {
    Json found = this instanceof Members members ? members.values().get(name) : null;
    return found == null ? new Null() : found;
  }

  /** The items of an array; empty if this is not an array. */
  default List<Json> items() {
    return this instanceof Items array ? array.values() : List.of();
  }

  /** Returns a string, number or boolean as text; the fallback for any other value. */
  default String asText(String fallback) {
    if (this instanceof Text text) {
      return text.value();
    }
    if (this instanceof NumberLiteral number) {
      return number.digits();
    }
    return this instanceof Bool bool ? Boolean.toString(bool.value()) : fallback;
  }
}
