package beaconturn.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import org.junit.jupiter.api.Test;

class ObjectCacheTest {
  private final ObjectCache store = new ObjectCache(3 * (100 + ObjectCache.OVERHEAD_BYTES), 50);

  @Test
  void theLeastRecentlyUsedGoesFirst() {
    store.put("a", 1, 100, 0);
    store.put("b", 1, 100, 0);
    store.put("c", 1, 100, 0);
    assertNotNull(store.get("a", 1));
    store.put("d", 1, 100, 2);
    assertNull(store.get("b", 2));
    assertNotNull(store.get("a", 2));
    assertEquals(3, store.count());
    assertEquals(3 * (100 + ObjectCache.OVERHEAD_BYTES), store.bytes());
  }

  @Test
  void anObjectEndsWithItsTimeAndGivesItsRoomBack() {
    store.put("a", 1, 100, 0);
    assertNotNull(store.get("a", 49));
    assertNull(store.get("a", 50));
    assertEquals(0, store.bytes());
  }

  @Test
  void aNewVersionTakesThePlaceOfTheOld() {
    store.put("a", 1, 100, 0);
    store.put("a", 2, 10, 0);
    assertEquals(2, store.get("a", 1).version());
    assertEquals(10 + ObjectCache.OVERHEAD_BYTES, store.bytes());
  }

  @Test
  void whatIsLargerThanTheStoreIsNotKept() {
    store.put("a", 1, 10_000, 0);
    assertEquals(0, store.count());
    assertEquals(0, store.bytes());
  }
}
