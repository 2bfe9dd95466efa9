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

/** The file of a version to be proposed: all that it says; what it leaves out is as configured. */
final class ContentFile {
  private static final long MILLI = 1_000_000;
  private static final int MOST_TRIES = 64;

  private ContentFile() {}

  static ConfigContent read(String file) throws ConfigException {
    return OperatorsFile.read(file, ContentFile::content);
  }

  private static ConfigContent content(TomlSection all) throws TomlException {
    TreeMap<String, ClassRule> classes = new TreeMap<>();
    for (TomlSection s : all.tables("class")) {
      String name = s.text("name", "");
      if (name.isEmpty() || classes.containsKey(name)) {
        throw s.invalid("name", "missing or given twice: '" + name + "'");
      }
      classes.put(name, rule(s));
    }
    TomlSection settings = all.table("settings");
    Integer tries =
        settings.has("most_tries")
            ? (Integer) settings.integer("most_tries", 1, 1, MOST_TRIES)
            : null;
    Boolean copies =
        settings.has("second_copies") ? (Boolean) settings.bool("second_copies", false) : null;
    TomlSection list = all.table("list");
    return new ConfigContent(
        classes,
        tries,
        copies,
        list.integer("oldest", 0, 0, Integer.MAX_VALUE),
        new TreeSet<>(list.texts("out", List.of())));
  }

  private static ClassRule rule(TomlSection s) throws TomlException {
    List<String> effects = List.of("safe", "keyed", "unsafe");
    return new ClassRule(
        s.has("effect") ? IdempotencyWords.decode(s.choice("effect", "", effects)) : null,
        s.has("window") ? (Long) s.durationNanos("window", 0, 0) : null,
        s.has("deadline") ? (Long) s.durationNanos("deadline", 0, MILLI) : null);
  }
}
