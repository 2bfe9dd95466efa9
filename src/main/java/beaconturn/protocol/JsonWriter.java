package beaconturn.protocol;

import java.util.List;
import java.util.Map;

/** Writes JSON values as text. Stateless; safe for any thread. */
public final class JsonWriter {
  private JsonWriter() {}

  /** The value as text without white space. */
  public static String write(Json value) {
    StringBuilder out = new StringBuilder();
    write(value, out);
    return out.toString();
  }

  private static void write(Json value, StringBuilder out) {
    if (value instanceof Json.Members members) {
      writeMembers(members.values(), out);
    } else if (value instanceof Json.Items) {
      writeItems(value.items(), out);
    } else if (value instanceof Json.Text text) {
      writeString(text.value(), out);
    } else {
      out.append(value.asText("null"));
    }
  }

  private static void writeMembers(Map<String, Json> members, StringBuilder out) {
    out.append('{');
    String separator = "";
    for (Map.Entry<String, Json> member : members.entrySet()) {
      out.append(separator);
      writeString(member.getKey(), out);
      out.append(':');
      write(member.getValue(), out);
      separator = ",";
    }
    out.append('}');
  }

  private static void writeItems(List<Json> items, StringBuilder out) {
    out.append('[');
    String separator = "";
    for (Json item : items) {
      out.append(separator);
      write(item, out);
      separator = ",";
    }
    out.append(']');
  }

  private static void writeString(String text, StringBuilder out) {
    out.append('"');
    for (int i = 0; i < text.length(); i++) {
      char c = text.charAt(i);
      if (c == '"' || c == '\\') {
        out.append('\\').append(c);
      } else if (c < ' ') {
        out.append(String.format("\\u%04x", (int) c));
      } else {
        out.append(c);
      }
    }
    out.append('"');
  }
}
