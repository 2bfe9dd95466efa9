package beaconturn.cli;

import beaconturn.agreement.ClassRule;
import beaconturn.agreement.ConfigContent;
import beaconturn.agreement.IdempotencyCodec;
import beaconturn.net.ConfigException;
import beaconturn.toml.TomlException;
import beaconturn.toml.TomlSection;
import java.util.List;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Reads the content of a configuration version from a TOML file. Settings that the file omits keep
 * each router's local value.
 */
final class ContentFile {
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final int MAX_ATTEMPTS = 64;

  private ContentFile() {}

  static ConfigContent read(String file) throws ConfigException {
    return OperatorFile.read(file, ContentFile::parse);
  }

  private static ConfigContent parse(TomlSection root) throws TomlException {
    TreeMap<String, ClassRule> classes = new TreeMap<>();
    for (TomlSection section : root.tables("class")) {
      String name = section.text("name", "");
      if (name.isEmpty() || classes.containsKey(name)) {
        throw section.invalid("name", "missing or given twice: '" + name + "'");
      }
      classes.put(name, parseRule(section));
    }
    TomlSection settings = root.table("settings");
    Integer maxAttempts =
        settings.has("most_tries")
            ? (Integer) settings.integer("most_tries", 1, 1, MAX_ATTEMPTS)
            : null;
    Boolean hedging =
        settings.has("second_copies") ? (Boolean) settings.bool("second_copies", false) : null;
    TomlSection endpointList = root.table("list");
    return new ConfigContent(
        classes,
        maxAttempts,
        hedging,
        endpointList.integer("oldest", 0, 0, Integer.MAX_VALUE),
        new TreeSet<>(endpointList.texts("out", List.of())));
  }

  private static ClassRule parseRule(TomlSection section) throws TomlException {
    List<String> effects = List.of("safe", "keyed", "unsafe");
    return new ClassRule(
        section.has("effect")
            ? IdempotencyCodec.decode(section.choice("effect", "", effects))
            : null,
        section.has("window") ? (Long) section.durationNanos("window", 0, 0) : null,
        section.has("deadline")
            ? (Long) section.durationNanos("deadline", 0, NANOS_PER_MILLI)
            : null);
  }
}
