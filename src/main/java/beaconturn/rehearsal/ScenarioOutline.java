package beaconturn.rehearsal;

import beaconturn.toml.TomlException;
import beaconturn.toml.TomlSection;
import java.util.List;

/**
 * The parts of a scenario that its faults, versions and commands refer to, and which are therefore
 * read first.
 *
 * @param fleet the cache servers
 * @param routers the routers
 * @param versionCount how many configuration versions are proposed
 * @param lengthNanos the length of the rehearsal
 */
record ScenarioOutline(
    Scenario.Fleet fleet, List<Scenario.RouterSpec> routers, int versionCount, long lengthNanos) {
  private static final long NANOS_PER_MILLI = 1_000_000;

  List<String> routerNames() {
    return routers.stream().map(Scenario.RouterSpec::name).toList();
  }

  /**
   * Returns the end of a period, read from the key {@code to}; the end of the rehearsal if it is
   * missing.
   */
  long readEnd(TomlSection section, long fromNanos) throws TomlException {
    long toNanos = section.durationNanos("to", lengthNanos, 0);
    if (toNanos <= fromNanos) {
      throw section.invalid(
          section.has("to") ? "to" : "from",
          "ends before it begins, allowed is after "
              + fromNanos / NANOS_PER_MILLI
              + "ms and up to the length of "
              + lengthNanos / NANOS_PER_MILLI
              + "ms");
    }
    checkWithinLength(section, "to", toNanos);
    return toNanos;
  }

  /** Fails if a time is after the end of the rehearsal. */
  void checkWithinLength(TomlSection section, String key, long atNanos) throws TomlException {
    if (atNanos > lengthNanos) {
      throw section.invalid(
          key,
          "after the end, allowed is up to the length of " + lengthNanos / NANOS_PER_MILLI + "ms");
    }
  }

  /** Returns the trigger from which times are counted, or null for the start of the rehearsal. */
  Trigger readTrigger(TomlSection section, String key) throws TomlException {
    String text = section.text(key, "");
    if (text.isEmpty()) {
      return null;
    }
    Trigger trigger =
        Trigger.parse(text)
            .orElseThrow(
                () ->
                    section.invalid(
                        key,
                        "'"
                            + text
                            + "' is no cue, such as 'version 1"
                            + " proposed', 'version 1 in force', 'version 1 settled' or 'r1"
                            + " says yes to version 1'"));
    checkTrigger(section, key, trigger);
    return trigger;
  }

  private void checkTrigger(TomlSection section, String key, Trigger trigger) throws TomlException {
    boolean aboutVersion =
        trigger.stage() != Trigger.Stage.TAKEN_OUT && trigger.stage() != Trigger.Stage.READY;
    boolean isCacheServer = !aboutVersion && fleet.cacheServerNames().contains(trigger.instance());
    if (!trigger.instance().isEmpty()
        && !routerNames().contains(trigger.instance())
        && !isCacheServer) {
      throw section.invalid(key, "there is no router '" + trigger.instance() + "'");
    }
    if (aboutVersion && (trigger.version() < 1 || trigger.version() > versionCount)) {
      throw section.invalid(
          key,
          "version "
              + trigger.version()
              + " is not among the "
              + versionCount
              + " that are proposed");
    }
  }
}
