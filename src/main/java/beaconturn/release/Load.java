package beaconturn.release;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * What the parts of a site have to carry: measured by what they have answered of late, over one to two times
 * the soak. Whoever takes one out must leave enough for that, and one failure.
 */
final class Load {
    private static final double SECOND = 1e9;
    private static final long SHORTEST = 1_000_000_000;
    private Window older;
    private Window newer;

    /** What all had answered at a time. */
    private record Window(long at, Map<String, Sample> then) { }

    /** To be told of each scene. */
    void saw(Scene scene, long now) {
        if (newer == null || now - newer.at() >= Math.max(SHORTEST, scene.plan().soak())) {
            older = newer;
            newer = new Window(now, Map.copyOf(scene.health()));
        }
    }

    /** Why the part's site would be left with too little, or null where that is not so or not asked for. */
    String tooMuch(Scene scene, String id, Set<String> out, long now) {
        Fleet.Group group = scene.fleet().group(scene.plan().kind());
        if (group.eachPerSecond() <= 0 || scene.plan().kind() != Kind.ROUTER) {
            return null;
        }
        if (older == null) {
            return "what its site carries is measured";
        }
        String site = group.siteOf(id);
        List<String> parts = group.sites().get(site);
        double carried = 0;
        for (String part : parts) {
            Sample then = older.then().get(part);
            Sample sample = scene.health().getOrDefault(part, Sample.NONE);
            carried += then == null ? 0 : sample.since(then).answers();
        }
        carried *= SECOND / (now - older.at());
        long left = parts.stream().filter(p -> !out.contains(p) && !p.equals(id)).count() - 1;
        return left > 0 && carried <= left * group.eachPerSecond() ? null : String.format(Locale.ROOT,
            "%s carries %.0f answers a second, and %d routers would be left with one that fails,"
                + " for %.0f each", site, carried, Math.max(0, left), group.eachPerSecond());
    }
}
