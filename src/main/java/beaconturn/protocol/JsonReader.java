package beaconturn.protocol;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads a JSON text, with limits on nesting and string length. */
public final class JsonReader {
  private static final int MAX_DEPTH = 32;
  private static final int MAX_STRING_CHARS = 1 << 16;
  private static final int ESCAPED_DIGITS = 4;
  private static final int HEX_RADIX = 16;
  private static final int BITS_PER_HEX_DIGIT = 4;
  private static final String WHITE_SPACE = " \t\r\n";
  private static final String NUMBER_CHARS = "+-.eE0123456789";
  private static final String NUMBER = "-?(0|[1-9][0-9]*)(\\.[0-9]+)?([eE][+-]?[0-9]+)?";

  private final String text;
  private int position;

  private JsonReader(String text) {
    this.text = text;
  }

  /**
   * Reads the value that the slice consists of.
   *
   * @throws ProtocolException if the slice is not valid JSON or exceeds a limit
   */
  public static Json read(Slice text) throws ProtocolException {
    JsonReader reader = new JsonReader(text.toString());
    Json value = reader.readValue(0);
    reader.skipSpace();
    if (reader.position < reader.text.length()) {
      throw reader.malformed("more after the end");
    }
    return value;
  }

  private Json readValue(int depth) throws ProtocolException {
    if (depth > MAX_DEPTH) {
      throw malformed("nested too deeply");
    }
    skipSpace();
    return switch (peek()) {
      case '{' -> readMembers(depth);
      case '[' -> readItems(depth);
      case '"' -> new Json.Text(readString());
      case 't' -> readLiteral("true", new Json.Bool(true));
      case 'f' -> readLiteral("false", new Json.Bool(false));
      case 'n' -> readLiteral("null", new Json.Null());
      default -> readNumber();
    };
  }

  private Json readMembers(int depth) throws ProtocolException {
    Map<String, Json> values = new LinkedHashMap<>();
    position++;
    skipSpace();
    if (peek() == '}') {
      position++;
      return new Json.Members(values);
    }
    do {
      skipSpace();
      String name = readString();
      skipSpace();
      expect(':');
      values.put(name, readValue(depth + 1));
      skipSpace();
    } while (readSeparator('}'));
    return new Json.Members(values);
  }

  private Json readItems(int depth) throws ProtocolException {
    List<Json> values = new ArrayList<>();
    position++;
    skipSpace();
    if (peek() == ']') {
      position++;
      return new Json.Items(values);
    }
    do {
      values.add(readValue(depth + 1));
      skipSpace();
    } while (readSeparator(']'));
    return new Json.Items(values);
  }

  /** Reads a comma or the end character; true if another element follows. */
  private boolean readSeparator(char end) throws ProtocolException {
    char c = peek();
    if (c != ',' && c != end) {
      throw malformed("expected , or " + end);
    }
    position++;
    return c == ',';
  }

  private String readString() throws ProtocolException {
    expect('"');
    StringBuilder out = new StringBuilder();
    while (peek() != '"') {
      char c = text.charAt(position++);
      if (c < ' ' || out.length() > MAX_STRING_CHARS) {
        throw malformed("string with a control character or too long");
      }
      out.append(c == '\\' ? readEscaped() : c);
    }
    position++;
    return out.toString();
  }

  private char readEscaped() throws ProtocolException {
    char c = peek();
    position++;
    return switch (c) {
      case '"', '\\', '/' -> c;
      case 'b' -> '\b';
      case 'f' -> '\f';
      case 'n' -> '\n';
      case 'r' -> '\r';
      case 't' -> '\t';
      case 'u' -> readUnicode();
      default -> throw malformed("unknown escape");
    };
  }

  private char readUnicode() throws ProtocolException {
    int value = 0;
    for (int i = 0; i < ESCAPED_DIGITS; i++) {
      int digit = Character.digit(peek(), HEX_RADIX);
      if (digit < 0) {
        throw malformed("expected four hexadecimal digits");
      }
      value = value << BITS_PER_HEX_DIGIT | digit;
      position++;
    }
    return (char) value;
  }

  private Json readNumber() throws ProtocolException {
    int from = position;
    while (position < text.length() && NUMBER_CHARS.indexOf(text.charAt(position)) >= 0) {
      position++;
    }
    String digits = text.substring(from, position);
    if (!digits.matches(NUMBER)) {
      throw malformed("expected a value");
    }
    return new Json.NumberLiteral(digits);
  }

  private Json readLiteral(String literal, Json value) throws ProtocolException {
    if (!text.startsWith(literal, position)) {
      throw malformed("expected a value");
    }
    position += literal.length();
    return value;
  }

  private void expect(char c) throws ProtocolException {
    if (peek() != c) {
      throw malformed("expected " + c);
    }
    position++;
  }

  private char peek() throws ProtocolException {
    if (position >= text.length()) {
      throw malformed("ends too early");
    }
    return text.charAt(position);
  }

  private void skipSpace() {
    while (position < text.length() && WHITE_SPACE.indexOf(text.charAt(position)) >= 0) {
      position++;
    }
  }

  private ProtocolException malformed(String what) {
    return new ProtocolException("JSON at character " + position + ": " + what);
  }
}
