package beaconturn.toml;

import com.fasterxml.jackson.core.JacksonException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;

/**
 * One table of a file. Each key is asked for by name with the value that holds where it is not
 * given; at the end {@link #end} turns away keys that nobody has asked for.
 */
public final class Section {
  private final String file;
  private final Lines lines;
  private final String path;
  private final JsonNode node;
  private final Set<String> asked = new LinkedHashSet<>();
  private final List<Section> below = new ArrayList<>();

  private Section(String file, Lines lines, String path, JsonNode node) {
    this.file = file;
    this.lines = lines;
    this.path = path;
    this.node = node;
  }

  /** The whole file; {@code file} is its name in messages. */
  public static Section read(String file, String text) throws TomlException {
    try {
      return new Section(file, new Lines(text), "", new TomlMapper().readTree(text));
    } catch (JacksonException e) {
      int line = e.getLocation() == null ? 1 : Math.max(1, e.getLocation().getLineNr());
      throw new TomlException(
          file + ":" + line + ": not TOML: " + e.getOriginalMessage().replaceAll("\\s+", " "));
    }
  }

  /** Whether the key is given. */
  public boolean has(String key) {
    asked.add(key);
    return node != null && node.has(key);
  }

  /** What is wrong with a key's value, as an exception to throw. */
  public TomlException wrong(String key, String what) {
    String whole = path.isEmpty() ? key : key.isEmpty() ? path : path + "." + key;
    return new TomlException(file + ":" + lines.of(whole) + ": " + whole + ": " + what);
  }

  /** A text. */
  public String word(String key, String usual) throws TomlException {
    if (!has(key)) {
      return usual;
    }
    if (!node.get(key).isTextual()) {
      throw wrong(key, "not a text, which stands in quotes");
    }
    return node.get(key).textValue();
  }

  /** One of the words. */
  public String choice(String key, String usual, List<String> allowed) throws TomlException {
    String word = word(key, usual);
    if (!allowed.contains(word)) {
      throw wrong(key, "unknown '" + word + "', allowed are " + String.join(", ", allowed));
    }
    return word;
  }

  /** A list of texts. */
  public List<String> words(String key, List<String> usual) throws TomlException {
    if (!has(key)) {
      return usual;
    }
    List<String> words = new ArrayList<>();
    for (JsonNode item : node.get(key)) {
      if (!item.isTextual()) {
        throw wrong(key, "not a list of texts");
      }
      words.add(item.textValue());
    }
    if (!node.get(key).isArray()) {
      throw wrong(key, "not a list of texts");
    }
    return List.copyOf(words);
  }

  /** True or false. */
  public boolean flag(String key, boolean usual) throws TomlException {
    if (!has(key)) {
      return usual;
    }
    if (!node.get(key).isBoolean()) {
      throw wrong(key, "neither true nor false");
    }
    return node.get(key).booleanValue();
  }

  /** A number within bounds. */
  public double number(String key, double usual, double least, double most) throws TomlException {
    if (!has(key)) {
      return usual;
    }
    if (!node.get(key).isNumber()) {
      throw wrong(key, "not a number");
    }
    double value = node.get(key).doubleValue();
    if (!(value >= least && value <= most)) {
      throw wrong(key, "out of range, allowed is " + plain(least) + " to " + plain(most));
    }
    return value;
  }

  /** A whole number within bounds. */
  public int whole(String key, int usual, int least, int most) throws TomlException {
    double value = number(key, usual, least, most);
    if (value != Math.rint(value)) {
      throw wrong(key, "not a whole number");
    }
    return (int) value;
  }

  /** A time such as "1.5s" or "300ms", in nanoseconds. */
  public long time(String key, long usual, long least) throws TomlException {
    if (!has(key)) {
      return usual;
    }
    JsonNode value = node.get(key);
    OptionalLong time = value.isTextual() ? Units.time(value.textValue()) : OptionalLong.empty();
    if (time.isEmpty()) {
      throw wrong(key, "not a time, write for example \"1.5s\" or \"300ms\"");
    }
    long nanos = time.getAsLong();
    if (nanos < least) {
      throw wrong(key, "too short, at least " + least / 1e9 + "s is needed");
    }
    return nanos;
  }

  /** A size such as "64MB", in bytes. */
  public long size(String key, long usual, long least) throws TomlException {
    if (!has(key)) {
      return usual;
    }
    JsonNode value = node.get(key);
    OptionalLong size = value.isTextual() ? Units.size(value.textValue()) : OptionalLong.empty();
    if (size.isEmpty()) {
      throw wrong(key, "not a size, write for example \"512B\" or \"64MB\"");
    }
    long bytes = size.getAsLong();
    if (bytes < least) {
      throw wrong(key, "too small, at least " + least + "B is needed");
    }
    return bytes;
  }

  /** A table below this one; an empty one where it is not given. */
  public Section table(String key) throws TomlException {
    JsonNode found = has(key) ? node.get(key) : null;
    if (found != null && !found.isObject()) {
      throw wrong(key, "not a table, write [" + key + "]");
    }
    return sub(key, found);
  }

  /** The tables of a list, which is empty where it is not given. */
  public List<Section> tables(String key) throws TomlException {
    List<Section> all = new ArrayList<>();
    if (has(key)) {
      if (!node.get(key).isArray()) {
        throw wrong(key, "not a list of tables, write [[" + key + "]]");
      }
      for (JsonNode item : node.get(key)) {
        if (!item.isObject()) {
          throw wrong(key, "not a list of tables, write [[" + key + "]]");
        }
        all.add(sub(key + "[" + all.size() + "]", item));
      }
    }
    return all;
  }

  private Section sub(String key, JsonNode found) {
    Section section = new Section(file, lines, path.isEmpty() ? key : path + "." + key, found);
    below.add(section);
    return section;
  }

  /** Turns away what nobody has asked for, here and in all tables below. */
  public void end() throws TomlException {
    if (node != null) {
      for (Iterator<String> names = node.fieldNames(); names.hasNext(); ) {
        String name = names.next();
        if (!asked.contains(name)) {
          throw wrong(name, "unknown key, allowed are " + String.join(", ", asked));
        }
      }
    }
    for (Section section : below) {
      section.end();
    }
  }

  private static String plain(double figure) {
    return figure == Math.rint(figure) && Math.abs(figure) < 1e15
        ? Long.toString((long) figure)
        : Double.toString(figure);
  }
}
