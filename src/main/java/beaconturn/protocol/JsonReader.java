package beaconturn.protocol;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads one JSON text out of a slice. */
public final class JsonReader {
  private static final int DEEPEST = 32;
  private static final int LONGEST_TEXT = 1 << 16;
  private final String in;
  private int at;

  private JsonReader(String in) {
    this.in = in;
  }

  /** The value that the whole slice holds. */
  public static Json read(Slice text) throws ProtocolException {
    JsonReader reader = new JsonReader(text.toString());
    Json value = reader.value(0);
    reader.space();
    if (reader.at < reader.in.length()) {
      throw reader.wrong("more after the end");
    }
    return value;
  }

  private Json value(int depth) throws ProtocolException {
    if (depth > DEEPEST) {
      throw wrong("nested too deeply");
    }
    space();
    char c = peek();
    return switch (c) {
      case '{' -> members(depth);
      case '[' -> list(depth);
      case '"' -> new Json.Text(text());
      case 't' -> word("true", new Json.Flag(true));
      case 'f' -> word("false", new Json.Flag(false));
      case 'n' -> word("null", new Json.Nothing());
      default -> figure();
    };
  }

  private Json members(int depth) throws ProtocolException {
    Map<String, Json> values = new LinkedHashMap<>();
    at++;
    space();
    if (peek() == '}') {
      at++;
      return new Json.Members(values);
    }
    do {
      space();
      String name = text();
      space();
      expect(':');
      values.put(name, value(depth + 1));
      space();
    } while (another('}'));
    return new Json.Members(values);
  }

  private Json list(int depth) throws ProtocolException {
    List<Json> values = new ArrayList<>();
    at++;
    space();
    if (peek() == ']') {
      at++;
      return new Json.Items(values);
    }
    do {
      values.add(value(depth + 1));
      space();
    } while (another(']'));
    return new Json.Items(values);
  }

  private boolean another(char end) throws ProtocolException {
    char c = peek();
    at++;
    if (c != ',' && c != end) {
      at--;
      throw wrong("expected , or " + end);
    }
    return c == ',';
  }

  private String text() throws ProtocolException {
    expect('"');
    StringBuilder out = new StringBuilder();
    while (peek() != '"') {
      char c = in.charAt(at++);
      if (c < ' ' || out.length() > LONGEST_TEXT) {
        throw wrong("string with a control character or too long");
      }
      out.append(c == '\\' ? escaped() : c);
    }
    at++;
    return out.toString();
  }

  private char escaped() throws ProtocolException {
    char c = peek();
    at++;
    return switch (c) {
      case '"', '\\', '/' -> c;
      case 'b' -> '\b';
      case 'f' -> '\f';
      case 'n' -> '\n';
      case 'r' -> '\r';
      case 't' -> '\t';
      case 'u' -> hex();
      default -> throw wrong("unknown escape");
    };
  }

  private char hex() throws ProtocolException {
    int value = 0;
    for (int i = 0; i < 4; i++) {
      int digit = Character.digit(peek(), 16);
      if (digit < 0) {
        throw wrong("expected four hexadecimal digits");
      }
      value = value << 4 | digit;
      at++;
    }
    return (char) value;
  }

  private Json figure() throws ProtocolException {
    int from = at;
    while (at < in.length() && "+-.eE0123456789".indexOf(in.charAt(at)) >= 0) {
      at++;
    }
    String digits = in.substring(from, at);
    if (!digits.matches("-?(0|[1-9][0-9]*)(\\.[0-9]+)?([eE][+-]?[0-9]+)?")) {
      throw wrong("expected a value");
    }
    return new Json.Figure(digits);
  }

  private Json word(String word, Json value) throws ProtocolException {
    if (!in.startsWith(word, at)) {
      throw wrong("expected a value");
    }
    at += word.length();
    return value;
  }

  private void expect(char c) throws ProtocolException {
    if (peek() != c) {
      throw wrong("expected " + c);
    }
    at++;
  }

  private char peek() throws ProtocolException {
    if (at >= in.length()) {
      throw wrong("ends too early");
    }
    return in.charAt(at);
  }

  private void space() {
    while (at < in.length() && " \t\r\n".indexOf(in.charAt(at)) >= 0) {
      at++;
    }
  }

  private ProtocolException wrong(String what) {
    return new ProtocolException("JSON at character " + at + ": " + what);
  }
}
