package beaconturn.release;

import java.util.Collections;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Who belongs to the fleet, and how much of it may be out at once.
 *
 * @param groups the parts of each kind; a kind that is not there may not be released
 */
public record ReleaseFleet(Map<InstanceKind, Group> groups) {
  /** No parts, nothing may be out. */
  public static final ReleaseFleet NONE = new ReleaseFleet(Map.of());

  /** A fleet of its own. */
  public ReleaseFleet {
    groups = groups.isEmpty() ? Map.of() : Collections.unmodifiableMap(new EnumMap<>(groups));
  }

  /**
   * What a site must be able to carry.
   *
   * @param eachPerSecond so many answers a second one part is known to be able to give; 0 where
   *     that is not said
   * @param cores so many cores one part may use; 0 means as many as it says itself
   * @param spare so many may fail beside those that are out; below 0 the load is not looked at
   */
  public record Capacity(double eachPerSecond, double cores, int spare) {
    /** The load is not looked at. */
    public static final Capacity ANY = new Capacity(0, 0, -1);
  }

  /**
   * The parts of a kind by site.
   *
   * @param mostOut so many may be out at once in all
   * @param mostOutOfSite so many of one site
   * @param sites names of parts by site
   * @param capacity what a site must be able to carry without those that are out
   */
  public record Group(
      int mostOut, int mostOutOfSite, SortedMap<String, List<String>> sites, Capacity capacity) {
    /** A group of its own. */
    public Group {
      sites = Collections.unmodifiableSortedMap(new TreeMap<>(sites));
    }

    /** A group whose load is not looked at. */
    public Group(int mostOut, int mostOutOfSite, SortedMap<String, List<String>> sites) {
      this(mostOut, mostOutOfSite, sites, Capacity.ANY);
    }

    /** The site of a part, or null if it does not belong to the group. */
    public String siteOf(String id) {
      for (Map.Entry<String, List<String>> site : sites.entrySet()) {
        if (site.getValue().contains(id)) {
          return site.getKey();
        }
      }
      return null;
    }

    /** All parts, site by site. */
    public List<String> all() {
      return sites.values().stream().flatMap(List::stream).toList();
    }
  }

  /** The parts of a kind; none where the fleet has none. */
  public Group group(InstanceKind kind) {
    return groups.getOrDefault(kind, new Group(0, 0, new TreeMap<>()));
  }
}
