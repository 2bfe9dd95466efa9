package beaconturn.rehearsal;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Something that the store sees, from which on times of a fault or a version can be counted:
 * commands and routers take the time that they take, and a scenario that guessed it would show
 * another thing on a slow machine.
 *
 * @param what has come about
 * @param version the number of the version, counted from 1
 * @param router whose yes it is, or which is released, else empty
 */
public record Trigger(Stage stage, long version, String part) {
  private static final Pattern OF_VERSION =
      Pattern.compile("version ([0-9]{1,4}) (proposed|in force|settled)");
  private static final Pattern OF_PART = Pattern.compile("([A-Za-z0-9_-]{1,32}) (goes out|is up)");
  private static final Pattern OF_ROUTER =
      Pattern.compile("([A-Za-z0-9_-]{1,32}) says yes to version ([0-9]{1,4})");

  /** What a version has come to. */
  public enum Stage {
    PROPOSED,
    IN_FORCE,
    SETTLED,
    ACKNOWLEDGED,
    TAKEN_OUT,
    READY
  }

  /**
   * The cue in an operator's words, such as {@code version 2 in force}; nothing where it is none.
   */
  static Optional<Trigger> parse(String words) {
    Matcher m = OF_VERSION.matcher(words);
    if (m.matches()) {
      Stage stage =
          m.group(2).equals("proposed")
              ? Stage.PROPOSED
              : m.group(2).equals("settled") ? Stage.SETTLED : Stage.IN_FORCE;
      return Optional.of(new Trigger(stage, Long.parseLong(m.group(1)), ""));
    }
    m = OF_PART.matcher(words);
    if (m.matches()) {
      return Optional.of(
          new Trigger(m.group(2).equals("goes out") ? Stage.TAKEN_OUT : Stage.READY, 0, m.group(1)));
    }
    m = OF_ROUTER.matcher(words);
    return m.matches()
        ? Optional.of(new Trigger(Stage.ACKNOWLEDGED, Long.parseLong(m.group(2)), m.group(1)))
        : Optional.empty();
  }

  /** The same words. */
  String toText() {
    return switch (stage) {
      case PROPOSED -> "version " + version + " proposed";
      case IN_FORCE -> "version " + version + " in force";
      case SETTLED -> "version " + version + " settled";
      case TAKEN_OUT -> part + " goes out";
      case READY -> part + " is up";
      case ACKNOWLEDGED -> part + " says yes to version " + version;
    };
  }
}
