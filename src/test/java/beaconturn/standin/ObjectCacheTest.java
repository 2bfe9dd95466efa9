package beaconturn.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import org.junit.jupiter.api.Test;

class ObjectCacheTest {
  private final ObjectCache cache = new ObjectCache(3 * (100 + ObjectCache.OVERHEAD_BYTES), 50);

  @Test
  void evictsLeastRecentlyUsedObject() {
    cache.put("a", 1, 100, 0);
    cache.put("b", 1, 100, 0);
    cache.put("c", 1, 100, 0);
    assertNotNull(cache.get("a", 1));
    cache.put("d", 1, 100, 2);
    assertNull(cache.get("b", 2));
    assertNotNull(cache.get("a", 2));
    assertEquals(3, cache.count());
    assertEquals(3 * (100 + ObjectCache.OVERHEAD_BYTES), cache.bytes());
  }

  @Test
  void expiredObjectIsDroppedAndItsSpaceReleased() {
    cache.put("a", 1, 100, 0);
    assertNotNull(cache.get("a", 49));
    assertNull(cache.get("a", 50));
    assertEquals(0, cache.bytes());
  }

  @Test
  void newVersionReplacesTheOldOne() {
    cache.put("a", 1, 100, 0);
    cache.put("a", 2, 10, 0);
    assertEquals(2, cache.get("a", 1).version());
    assertEquals(10 + ObjectCache.OVERHEAD_BYTES, cache.bytes());
  }

  @Test
  void objectLargerThanTheCapacityIsNotKept() {
    cache.put("a", 1, 10_000, 0);
    assertEquals(0, cache.count());
    assertEquals(0, cache.bytes());
  }
}
