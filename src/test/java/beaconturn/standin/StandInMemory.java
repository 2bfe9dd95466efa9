package beaconturn.standin;

import java.lang.ref.Reference;
import java.util.ArrayList;
import java.util.List;

/**
 * Measures the memory that the objects of a large fleet take; not run by the tests. Arguments:
 * cache servers, objects in each. docs/results.md quotes the run 100 100000 with -Xmx6g.
 */
final class StandInMemory {
  private static final long UNLIMITED = Long.MAX_VALUE / 4;
  private static final double MB = 1 << 20;

  private StandInMemory() {}

  public static void main(String[] args) {
    int servers = Integer.parseInt(args[0]);
    int objects = Integer.parseInt(args[1]);
    long bytesBefore = usedBytes();
    List<ObjectCache> caches = new ArrayList<>();
    for (int i = 0; i < servers; i++) {
      ObjectCache cache = new ObjectCache(UNLIMITED, UNLIMITED);
      for (int k = 0; k < objects; k++) {
        // A separate string for each object, as each command has its own.
        cache.put(String.format("%016x", k), 0, 400, 0);
      }
      caches.add(cache);
    }
    long count = caches.stream().mapToLong(ObjectCache::count).sum();
    double bytes = usedBytes() - bytesBefore;
    Reference.reachabilityFence(caches);
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

  private static long usedBytes() {
    System.gc();
    return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
  }
}
