package beaconturn.protocol;

import java.util.List;
import java.util.Map;

/** A JSON value. Not to be changed once it has been read. */
public sealed interface Json {
  /** An object; the names keep their order. */
  record Members(Map<String, Json> values) implements Json {}

  /** An array. */
  record Items(List<Json> values) implements Json {}

  /** A string. */
  record Text(String value) implements Json {}

  /** A number, as it was written, so that no digit of a long one is lost. */
  record NumberLiteral(String digits) implements Json {}

  /** True or false. */
  record Bool(boolean value) implements Json {}

  /** The null. */
  record Null() implements Json {}

  /** The member of that name; the null where there is none or this is no object. */
  default Json get(String name) {
    Json found = this instanceof Members m ? m.values().get(name) : null;
    return found == null ? new Null() : found;
  }

  /** The items of an array; none if this is something else. */
  default List<Json> items() {
    return this instanceof Items i ? i.values() : List.of();
  }

  /** The text or digits of a plain value, or the fallback where there is none. */
  default String word(String fallback) {
    if (this instanceof Text t) {
      return t.value();
    }
    if (this instanceof NumberLiteral f) {
      return f.digits();
    }
    return this instanceof Bool flag ? Boolean.toString(flag.value()) : fallback;
  }
}
