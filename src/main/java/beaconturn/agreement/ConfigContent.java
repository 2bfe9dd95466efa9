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
 * @param classes what is said of classes, by name
 * @param maxAttempts sends for one request at the most
 * @param hedging whether a second send may be out while the first is
 * @param minListVersion the oldest version of discovery's list that a router may act on; 0 where
 *     any will do
 * @param excludedServers cache servers that nothing new is sent to, whatever the list says
 */
public record ConfigContent(
    SortedMap<String, ClassRule> classes,
    Integer maxAttempts,
    Boolean hedging,
    long minListVersion,
    SortedSet<String> excludedServers) {
  /** Nothing said. */
  public static final ConfigContent UNSPECIFIED =
      new ConfigContent(new TreeMap<>(), null, null, 0, new TreeSet<>());

  /** A content of its own: later changes of the arguments change nothing. */
  public ConfigContent {
    classes = Collections.unmodifiableSortedMap(new TreeMap<>(classes));
    excludedServers = Collections.unmodifiableSortedSet(new TreeSet<>(excludedServers));
  }

  /** The same settings, and held out what the other one holds out. */
  public ConfigContent withExclusionsOf(ConfigContent other) {
    return new ConfigContent(
        classes,
        maxAttempts,
        hedging,
        Math.max(minListVersion, other.minListVersion),
        other.excludedServers);
  }

  /**
   * This content where it says something, the other elsewhere; what is out is only what this one
   * says.
   */
  public ConfigContent withDefaults(ConfigContent base) {
    SortedMap<String, ClassRule> all = new TreeMap<>(base.classes);
    for (Map.Entry<String, ClassRule> said : classes.entrySet()) {
      all.merge(said.getKey(), said.getValue(), (below, above) -> above.withDefaults(below));
    }
    return new ConfigContent(
        all,
        maxAttempts == null ? base.maxAttempts : maxAttempts,
        hedging == null ? base.hedging : hedging,
        Math.max(minListVersion, base.minListVersion),
        excludedServers);
  }
}
