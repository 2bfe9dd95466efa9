package beaconturn.agreement;

import java.util.Collections;
import java.util.Map;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * The settings of a version. A field that is null and a class that is not named keep the local
 * configuration of each router. Classes and servers are sorted by name, so that equal contents are
 * encoded to equal texts.
 *
 * @param classes rules of request classes, by name
 * @param maxAttempts maximum number of attempts of one request, or null
 * @param hedging whether hedged requests are allowed, or null
 * @param minListVersion the oldest endpoint list version that a router may act on; 0 for any
 * @param excludedServers names of the cache servers that get no new requests, whatever their state
 *     in the endpoint list
 */
public record ConfigContent(
    SortedMap<String, ClassRule> classes,
    Integer maxAttempts,
    Boolean hedging,
    long minListVersion,
    SortedSet<String> excludedServers) {
  /** Keeps the local configuration of each router. */
  public static final ConfigContent UNSPECIFIED =
      new ConfigContent(new TreeMap<>(), null, null, 0, new TreeSet<>());

  /** Creates a content from copies of the collections. */
  public ConfigContent {
    classes = Collections.unmodifiableSortedMap(new TreeMap<>(classes));
    excludedServers = Collections.unmodifiableSortedSet(new TreeSet<>(excludedServers));
  }

  /**
   * Returns this content with the excluded servers of the other, and an endpoint list version that
   * is at least that of both.
   */
  public ConfigContent withExclusionsOf(ConfigContent other) {
    return new ConfigContent(
        classes,
        maxAttempts,
        hedging,
        Math.max(minListVersion, other.minListVersion),
        other.excludedServers);
  }

  /**
   * Returns this content with its unspecified fields taken from the defaults. The excluded servers
   * are those of this content alone.
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
