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
public record Fleet(Map<Kind, Group> groups) {
    /** No parts, nothing may be out. */
    public static final Fleet NONE = new Fleet(Map.of());

    /** A fleet of its own. */
    public Fleet {
        groups = groups.isEmpty() ? Map.of() : Collections.unmodifiableMap(new EnumMap<>(groups));
    }

    /**
     * The parts of a kind by site.
     *
     * @param mostOut so many may be out at once in all
     * @param mostOutOfSite so many of one site
     * @param sites names of parts by site
     * @param eachPerSecond so many answers a second one part is known to be able to give; 0 where that is
     *     not said
     */
    public record Group(int mostOut, int mostOutOfSite, SortedMap<String, List<String>> sites,
            double eachPerSecond) {
        /** A group of its own. */
        public Group {
            sites = Collections.unmodifiableSortedMap(new TreeMap<>(sites));
        }

        /** A group of which nobody has said what a part can carry. */
        public Group(int mostOut, int mostOutOfSite, SortedMap<String, List<String>> sites) {
            this(mostOut, mostOutOfSite, sites, 0);
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
    public Group group(Kind kind) {
        return groups.getOrDefault(kind, new Group(0, 0, new TreeMap<>()));
    }
}
