package beaconturn.rehearsal;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A change in the coordination store from which times of faults, versions and orders are counted.
 * With fixed times a scenario would depend on how long commands and routers take on the machine.
 *
 * @param stage what has to happen
 * @param version the number of the version, from 1; 0 for stages of an instance
 * @param instance the router that acknowledges, or the router or cache server that is released;
 *     otherwise empty
 */
public record Trigger(Stage stage, long version, String instance) {
  private static final Pattern VERSION_PATTERN =
      Pattern.compile("version ([0-9]{1,4}) (proposed|in force|settled)");
  private static final Pattern INSTANCE_PATTERN =
      Pattern.compile("([A-Za-z0-9_-]{1,32}) (goes out|is up)");
  private static final Pattern ACKNOWLEDGEMENT_PATTERN =
      Pattern.compile("([A-Za-z0-9_-]{1,32}) says yes to version ([0-9]{1,4})");

  /** The stage that a version, or an instance in a release, has to reach. */
  public enum Stage {
    /** The version was proposed. */
    PROPOSED,
    /** The version is in force. */
    IN_FORCE,
    /** Each member acts on the version or has lost its lease. */
    SETTLED,
    /** A router has acknowledged the version. */
    ACKNOWLEDGED,
    /** The step of an instance has started, which takes it out of service. */
    TAKEN_OUT,
    /** The instance is up again after its step. */
    READY
  }

  /** Parses the text of a scenario, such as {@code version 2 in force}; empty if invalid. */
  static Optional<Trigger> parse(String text) {
    Matcher matcher = VERSION_PATTERN.matcher(text);
    if (matcher.matches()) {
      Stage stage =
          matcher.group(2).equals("proposed")
              ? Stage.PROPOSED
              : matcher.group(2).equals("settled") ? Stage.SETTLED : Stage.IN_FORCE;
      return Optional.of(new Trigger(stage, Long.parseLong(matcher.group(1)), ""));
    }
    matcher = INSTANCE_PATTERN.matcher(text);
    if (matcher.matches()) {
      return Optional.of(
          new Trigger(
              matcher.group(2).equals("goes out") ? Stage.TAKEN_OUT : Stage.READY,
              0,
              matcher.group(1)));
    }
    matcher = ACKNOWLEDGEMENT_PATTERN.matcher(text);
    return matcher.matches()
        ? Optional.of(
            new Trigger(Stage.ACKNOWLEDGED, Long.parseLong(matcher.group(2)), matcher.group(1)))
        : Optional.empty();
  }

  /** Returns the text that {@link #parse} reads. */
  String toText() {
    return switch (stage) {
      case PROPOSED -> "version " + version + " proposed";
      case IN_FORCE -> "version " + version + " in force";
      case SETTLED -> "version " + version + " settled";
      case TAKEN_OUT -> instance + " goes out";
      case READY -> instance + " is up";
      case ACKNOWLEDGED -> instance + " says yes to version " + version;
    };
  }
}
