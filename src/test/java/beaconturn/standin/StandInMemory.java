package beaconturn.standin;

import java.lang.ref.Reference;
import java.util.ArrayList;
import java.util.List;

/**
 * Measures what the objects of a large fleet take; not run by the tests. Arguments: cache servers,
 * objects in each. What docs/results.md quotes: 100 100000, with -Xmx6g.
 */
final class StandInMemory {
  private static final long FOR_GOOD = Long.MAX_VALUE / 4;
  private static final double MB = 1 << 20;

  private StandInMemory() {}

  public static void main(String[] args) {
    int servers = Integer.parseInt(args[0]);
    int objects = Integer.parseInt(args[1]);
    long before = used();
    List<ObjectCache> stores = new ArrayList<>();
    for (int i = 0; i < servers; i++) {
      ObjectCache store = new ObjectCache(FOR_GOOD, FOR_GOOD);
      for (int k = 0; k < objects; k++) {
        // A string of its own for each, as each command brings one.
        store.put(String.format("%016x", k), 0, 400, 0);
      }
      stores.add(store);
    }
    long count = stores.stream().mapToLong(ObjectCache::count).sum();
    double bytes = used() - before;
    Reference.reachabilityFence(stores);
    System.out.println(
        count
            + " objects in "
            + servers
            + " cache servers: "
            + Math.round(bytes / MB)
            + " MB, "
            + Math.round(bytes / count)
            + " bytes each; values are not kept");
  }

  private static long used() {
    System.gc();
    return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
  }
}
