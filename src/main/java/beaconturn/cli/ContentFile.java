package beaconturn.cli;

import beaconturn.agreement.ClassRule;
import beaconturn.agreement.ConfigContent;
import beaconturn.agreement.IdempotencyWords;
import beaconturn.net.ConfigException;
import beaconturn.toml.TomlException;
import beaconturn.toml.TomlSection;
import java.util.List;
import java.util.TreeMap;
import java.util.TreeSet;

/** Reads the file of a version to be proposed; what it leaves out is as configured. */
final class ContentFile {
  private static final long MILLI_NANOS = 1_000_000;
  private static final int MAX_ATTEMPTS = 64;

  private ContentFile() {}

  static ConfigContent read(String file) throws ConfigException {
    return OperatorFile.read(file, ContentFile::content);
  }

  private static ConfigContent content(TomlSection file) throws TomlException {
    TreeMap<String, ClassRule> classes = new TreeMap<>();
    for (TomlSection section : file.tables("class")) {
      String name = section.text("name", "");
      if (name.isEmpty() || classes.containsKey(name)) {
        throw section.invalid("name", "missing or given twice: '" + name + "'");
      }
      classes.put(name, rule(section));
    }
    TomlSection settings = file.table("settings");
    Integer maxAttempts =
        settings.has("most_tries")
            ? (Integer) settings.integer("most_tries", 1, 1, MAX_ATTEMPTS)
            : null;
    Boolean hedging =
        settings.has("second_copies") ? (Boolean) settings.bool("second_copies", false) : null;
    TomlSection list = file.table("list");
    return new ConfigContent(
        classes,
        maxAttempts,
        hedging,
        list.integer("oldest", 0, 0, Integer.MAX_VALUE),
        new TreeSet<>(list.texts("out", List.of())));
  }

  private static ClassRule rule(TomlSection section) throws TomlException {
    List<String> words = List.of("safe", "keyed", "unsafe");
    return new ClassRule(
        section.has("effect") ? IdempotencyWords.decode(section.choice("effect", "", words)) : null,
        section.has("window") ? (Long) section.durationNanos("window", 0, 0) : null,
        section.has("deadline") ? (Long) section.durationNanos("deadline", 0, MILLI_NANOS) : null);
  }
}
