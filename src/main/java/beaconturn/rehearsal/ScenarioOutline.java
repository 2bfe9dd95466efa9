package beaconturn.rehearsal;

import beaconturn.toml.TomlException;
import beaconturn.toml.TomlSection;
import java.util.List;

/**
 * What is known of a scenario before its faults, versions and orders are read, which refer to it.
 *
 * @param fleet the cache servers
 * @param routers the routers
 * @param versions how many configuration versions are proposed
 * @param lengthNanos the length of the play
 */
record ScenarioOutline(
    Scenario.Fleet fleet, List<Scenario.RouterSpec> routers, int versions, long lengthNanos) {
  private static final long MILLI_NANOS = 1_000_000;

  /** Returns the names of the routers. */
  List<String> routerNames() {
    return routers.stream().map(Scenario.RouterSpec::name).toList();
  }

  /**
   * Returns the end of a period that begins at a time, by the key {@code to}; the end of the play
   * where it is not given.
   */
  long readEnd(TomlSection section, long fromNanos) throws TomlException {
    long toNanos = section.durationNanos("to", lengthNanos, 0);
    if (toNanos <= fromNanos) {
      throw section.invalid(
          section.has("to") ? "to" : "from",
          "ends before it begins, allowed is after "
              + fromNanos / MILLI_NANOS
              + "ms and up to the length of "
              + lengthNanos / MILLI_NANOS
              + "ms");
    }
    checkWithinPlay(section, "to", toNanos);
    return toNanos;
  }

  /** Rejects a time that lies after the end of the play. */
  void checkWithinPlay(TomlSection section, String key, long atNanos) throws TomlException {
    if (atNanos > lengthNanos) {
      throw section.invalid(
          key, "after the end, allowed is up to the length of " + lengthNanos / MILLI_NANOS + "ms");
    }
  }

  /** Returns the trigger from which times count in place of the start, or null if none is given. */
  Trigger readTrigger(TomlSection section, String key) throws TomlException {
    String words = section.text(key, "");
    if (words.isEmpty()) {
      return null;
    }
    Trigger trigger =
        Trigger.parse(words)
            .orElseThrow(
                () ->
                    section.invalid(
                        key,
                        "'"
                            + words
                            + "' is no cue, such as 'version 1"
                            + " proposed', 'version 1 in force', 'version 1 settled' or 'r1"
                            + " says yes to version 1'"));
    checkTrigger(section, key, trigger);
    return trigger;
  }

  private void checkTrigger(TomlSection section, String key, Trigger trigger) throws TomlException {
    boolean ofVersion = trigger.stage() != Trigger.Stage.TAKEN_OUT && trigger.stage() != Trigger.Stage.READY;
    boolean knownServer = !ofVersion && fleet.names().contains(trigger.instance());
    if (!trigger.instance().isEmpty() && !routerNames().contains(trigger.instance()) && !knownServer) {
      throw section.invalid(key, "there is no router '" + trigger.instance() + "'");
    }
    if (ofVersion && (trigger.version() < 1 || trigger.version() > versions)) {
      throw section.invalid(
          key,
          "version " + trigger.version() + " is not among the " + versions + " that are proposed");
    }
  }
}
