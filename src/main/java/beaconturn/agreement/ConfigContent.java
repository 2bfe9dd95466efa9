package beaconturn.agreement;

import java.util.Collections;
import java.util.Map;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * What a version puts in force. Whatever is null or not named is left as each router is configured;
 * names of classes and servers keep an order, so that the same content is the same text everywhere.
 *
 * @param classes rules of request classes, by name
 * @param maxAttempts attempts of one request, or null
 * @param hedging whether another attempt may be out while the first is, or null
 * @param minListVersion the oldest version of discovery's endpoint list that a router may act on; 0
 *     where any will do
 * @param excludedServers cache servers that nothing new is sent to, whatever the list says
 */
public record ConfigContent(
    SortedMap<String, ClassRule> classes,
    Integer maxAttempts,
    Boolean hedging,
    long minListVersion,
    SortedSet<String> excludedServers) {
  /** Leaves all as each router is configured. */
  public static final ConfigContent UNSPECIFIED =
      new ConfigContent(new TreeMap<>(), null, null, 0, new TreeSet<>());

  /** A content of its own: later changes of the arguments change nothing. */
  public ConfigContent {
    classes = Collections.unmodifiableSortedMap(new TreeMap<>(classes));
    excludedServers = Collections.unmodifiableSortedSet(new TreeSet<>(excludedServers));
  }

  /** The same settings, with the excluded servers of the other and a list as new as its. */
  public ConfigContent withExclusionsOf(ConfigContent other) {
    return new ConfigContent(
        classes,
        maxAttempts,
        hedging,
        Math.max(minListVersion, other.minListVersion),
        other.excludedServers);
  }

  /**
   * This content where it specifies something, the other elsewhere; excluded are only the servers
   * that this one excludes.
   */
  public ConfigContent withDefaults(ConfigContent defaults) {
    SortedMap<String, ClassRule> merged = new TreeMap<>(defaults.classes);
    for (Map.Entry<String, ClassRule> rule : classes.entrySet()) {
      merged.merge(rule.getKey(), rule.getValue(), (theirs, own) -> own.withDefaults(theirs));
    }
    return new ConfigContent(
        merged,
        maxAttempts == null ? defaults.maxAttempts : maxAttempts,
        hedging == null ? defaults.hedging : hedging,
        Math.max(minListVersion, defaults.minListVersion),
        excludedServers);
  }
}
