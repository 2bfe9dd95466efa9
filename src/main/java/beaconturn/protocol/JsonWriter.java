package beaconturn.protocol;

import java.util.Map;

/** Writes one JSON value as text. */
public final class JsonWriter {
  private JsonWriter() {}

  /** The value without any white space. */
  public static String write(Json value) {
    StringBuilder out = new StringBuilder();
    write(value, out);
    return out.toString();
  }

  private static void write(Json value, StringBuilder out) {
    if (value instanceof Json.Members members) {
      String before = "{";
      for (Map.Entry<String, Json> member : members.values().entrySet()) {
        out.append(before);
        text(member.getKey(), out);
        out.append(':');
        write(member.getValue(), out);
        before = ",";
      }
      out.append(members.values().isEmpty() ? "{}" : "}");
    } else if (value instanceof Json.Items items) {
      String before = "[";
      for (Json item : items.values()) {
        out.append(before);
        write(item, out);
        before = ",";
      }
      out.append(items.values().isEmpty() ? "[]" : "]");
    } else if (value instanceof Json.Text text) {
      text(text.value(), out);
    } else {
      out.append(value.word("null"));
    }
  }

  private static void text(String text, StringBuilder out) {
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
