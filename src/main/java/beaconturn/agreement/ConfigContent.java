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
 * @param mostTries sends for one request at the most
 * @param secondCopies whether a second send may be out while the first is
 * @param oldestList the oldest version of discovery's list that a router may act on; 0 where any
 *     will do
 * @param out cache servers that nothing new is sent to, whatever the list says
 */
public record ConfigContent(
    SortedMap<String, ClassRule> classes,
    Integer mostTries,
    Boolean secondCopies,
    long oldestList,
    SortedSet<String> out) {
  /** Nothing said. */
  public static final ConfigContent UNSAID =
      new ConfigContent(new TreeMap<>(), null, null, 0, new TreeSet<>());

  /** A content of its own: later changes of the arguments change nothing. */
  public ConfigContent {
    classes = Collections.unmodifiableSortedMap(new TreeMap<>(classes));
    out = Collections.unmodifiableSortedSet(new TreeSet<>(out));
  }

  /** The same settings, and held out what the other one holds out. */
  public ConfigContent holding(ConfigContent other) {
    return new ConfigContent(
        classes, mostTries, secondCopies, Math.max(oldestList, other.oldestList), other.out);
  }

  /**
   * This content where it says something, the other elsewhere; what is out is only what this one
   * says.
   */
  public ConfigContent over(ConfigContent base) {
    SortedMap<String, ClassRule> all = new TreeMap<>(base.classes);
    for (Map.Entry<String, ClassRule> said : classes.entrySet()) {
      all.merge(said.getKey(), said.getValue(), (below, above) -> above.over(below));
    }
    return new ConfigContent(
        all,
        mostTries == null ? base.mostTries : mostTries,
        secondCopies == null ? base.secondCopies : secondCopies,
        Math.max(oldestList, base.oldestList),
        out);
  }
}
