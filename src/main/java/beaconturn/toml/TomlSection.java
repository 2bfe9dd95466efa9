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
 * A table of an operator's TOML file. Keys are read by name with a default value; after all reads,
 * {@link #rejectUnknownKeys} rejects the keys that were not read. Not thread-safe.
 */
public final class TomlSection {
  private final String file;
  private final KeyPositions positions;
  private final String path;
  private final JsonNode node;
  private final Set<String> requestedKeys = new LinkedHashSet<>();
  private final List<TomlSection> subsections = new ArrayList<>();

  private TomlSection(String file, KeyPositions positions, String path, JsonNode node) {
    this.file = file;
    this.positions = positions;
    this.path = path;
    this.node = node;
  }

  /**
   * Parses a file.
   *
   * @param file the file's name for error messages
   * @throws TomlException if the text is not valid TOML
   */
  public static TomlSection read(String file, String text) throws TomlException {
    try {
      return new TomlSection(file, new KeyPositions(text), "", new TomlMapper().readTree(text));
    } catch (JacksonException e) {
      int line = e.getLocation() == null ? 1 : Math.max(1, e.getLocation().getLineNr());
      throw new TomlException(
          file + ":" + line + ": not TOML: " + e.getOriginalMessage().replaceAll("\\s+", " "));
    }
  }

  /** Returns whether the key is present. */
  public boolean has(String key) {
    requestedKeys.add(key);
    return node != null && node.has(key);
  }

  /** Creates an exception for the key, with the file and line; {@code what} states the problem. */
  public TomlException invalid(String key, String what) {
    String fullPath = pathOf(key);
    return new TomlException(
        file + ":" + positions.lineOf(fullPath) + ": " + fullPath + ": " + what);
  }

  private String pathOf(String key) {
    if (path.isEmpty()) {
      return key;
    }
    return key.isEmpty() ? path : path + "." + key;
  }

  /** Returns a string. */
  public String text(String key, String defaultValue) throws TomlException {
    if (!has(key)) {
      return defaultValue;
    }
    if (!node.get(key).isTextual()) {
      throw invalid(key, "not a string, write it in quotes");
    }
    return node.get(key).textValue();
  }

  /** Returns a string, which must be one of the allowed values. */
  public String choice(String key, String defaultValue, List<String> allowed) throws TomlException {
    String text = text(key, defaultValue);
    if (!allowed.contains(text)) {
      throw invalid(key, "unknown '" + text + "', allowed are " + String.join(", ", allowed));
    }
    return text;
  }

  /** Returns a list of strings. */
  public List<String> texts(String key, List<String> defaultValue) throws TomlException {
    if (!has(key)) {
      return defaultValue;
    }
    List<String> texts = new ArrayList<>();
    for (JsonNode item : node.get(key)) {
      if (!item.isTextual()) {
        throw invalid(key, "not a list of strings");
      }
      texts.add(item.textValue());
    }
    if (!node.get(key).isArray()) {
      throw invalid(key, "not a list of strings");
    }
    return List.copyOf(texts);
  }

  /** Returns a boolean. */
  public boolean bool(String key, boolean defaultValue) throws TomlException {
    if (!has(key)) {
      return defaultValue;
    }
    if (!node.get(key).isBoolean()) {
      throw invalid(key, "neither true nor false");
    }
    return node.get(key).booleanValue();
  }

  /** Returns a number within inclusive bounds. */
  public double number(String key, double defaultValue, double minimum, double maximum)
      throws TomlException {
    if (!has(key)) {
      return defaultValue;
    }
    if (!node.get(key).isNumber()) {
      throw invalid(key, "not a number");
    }
    double value = node.get(key).doubleValue();
    if (!(value >= minimum && value <= maximum)) {
      throw invalid(
          key, "out of range, allowed is " + formatted(minimum) + " to " + formatted(maximum));
    }
    return value;
  }

  /** Returns an integer within inclusive bounds. */
  public int integer(String key, int defaultValue, int minimum, int maximum) throws TomlException {
    double value = number(key, defaultValue, minimum, maximum);
    if (value != Math.rint(value)) {
      throw invalid(key, "not a whole number");
    }
    return (int) value;
  }

  /** Returns a duration such as "1.5s" or "300ms", in nanoseconds. */
  public long durationNanos(String key, long defaultNanos, long minimumNanos) throws TomlException {
    if (!has(key)) {
      return defaultNanos;
    }
    JsonNode value = node.get(key);
    OptionalLong durationNanos =
        value.isTextual() ? Units.parseDuration(value.textValue()) : OptionalLong.empty();
    if (durationNanos.isEmpty()) {
      throw invalid(key, "not a time, write for example \"1.5s\" or \"300ms\"");
    }
    long nanos = durationNanos.getAsLong();
    if (nanos < minimumNanos) {
      throw invalid(key, "too short, at least " + minimumNanos / 1e9 + "s is needed");
    }
    return nanos;
  }

  /** Returns a size such as "64MB", in bytes. */
  public long sizeBytes(String key, long defaultBytes, long minimumBytes) throws TomlException {
    if (!has(key)) {
      return defaultBytes;
    }
    JsonNode value = node.get(key);
    OptionalLong sizeBytes =
        value.isTextual() ? Units.parseSize(value.textValue()) : OptionalLong.empty();
    if (sizeBytes.isEmpty()) {
      throw invalid(key, "not a size, write for example \"512B\" or \"64MB\"");
    }
    long bytes = sizeBytes.getAsLong();
    if (bytes < minimumBytes) {
      throw invalid(key, "too small, at least " + minimumBytes + "B is needed");
    }
    return bytes;
  }

  /** Returns a subtable; an empty one if the key is absent. */
  public TomlSection table(String key) throws TomlException {
    JsonNode found = has(key) ? node.get(key) : null;
    if (found != null && !found.isObject()) {
      throw invalid(key, "not a table, write [" + key + "]");
    }
    return subsection(key, found);
  }

  /** Returns the tables of an array of tables; an empty list if the key is absent. */
  public List<TomlSection> tables(String key) throws TomlException {
    List<TomlSection> all = new ArrayList<>();
    if (has(key)) {
      if (!node.get(key).isArray()) {
        throw invalid(key, "not a list of tables, write [[" + key + "]]");
      }
      for (JsonNode item : node.get(key)) {
        if (!item.isObject()) {
          throw invalid(key, "not a list of tables, write [[" + key + "]]");
        }
        all.add(subsection(key + "[" + all.size() + "]", item));
      }
    }
    return all;
  }

  private TomlSection subsection(String key, JsonNode found) {
    TomlSection section = new TomlSection(file, positions, pathOf(key), found);
    subsections.add(section);
    return section;
  }

  /** Rejects keys that were not read, in this table and all subtables that were read. */
  public void rejectUnknownKeys() throws TomlException {
    if (node != null) {
      for (Iterator<String> names = node.fieldNames(); names.hasNext(); ) {
        String name = names.next();
        if (!requestedKeys.contains(name)) {
          throw invalid(name, "unknown key, allowed are " + String.join(", ", requestedKeys));
        }
      }
    }
    for (TomlSection section : subsections) {
      section.rejectUnknownKeys();
    }
  }

  private static String formatted(double value) {
    return value == Math.rint(value) && Math.abs(value) < 1e15
        ? Long.toString((long) value)
        : Double.toString(value);
  }
}
