package beaconturn.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;

import beaconturn.standin.store.StoreModel;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Restoration of old revisions and stale reads of the store model. */
class StoreModelTest {
  private final List<String> changeLog = new ArrayList<>();
  private final StoreModel store =
      new StoreModel(
          new EventScheduler(0),
          7,
          (at, revision, key, value) -> changeLog.add(revision + " " + key + "=" + value));

  private void put(String... pairs) {
    List<StoreModel.ModelChange> changes = new ArrayList<>();
    for (int i = 0; i < pairs.length; i += 2) {
      changes.add(new StoreModel.ModelChange(pairs[i], "", pairs[i + 1], 0));
    }
    store.transact(List.of(), changes);
  }

  private String allPairs() {
    return String.join(
        " ",
        store.range("a", "z").stream()
            .map(p -> p.key() + "=" + p.value() + "@" + p.modRevision())
            .toList());
  }

  @Test
  void rewindRestoresAnOldRevisionUnderANewClusterId() {
    put("a", "1", "b", "1");
    put("a", "2");
    store.transact(List.of(), List.of(new StoreModel.ModelChange("a", "z", null, 0)));
    put("c", "1", "c", "2");
    assertEquals("c=2@5", allPairs());
    store.rewind(2);
    assertEquals("a=2@3 b=1@2", allPairs());
    assertEquals(3, store.revision());
    assertEquals(8, store.clusterId());
    store.rewind(9);
    assertEquals("", allPairs());
    put("d", "1");
    assertEquals("2 d=1", changeLog.get(changeLog.size() - 1));
  }

  @Test
  void frozenStoreServesOldReads() {
    put("a", "1");
    store.freeze(true);
    put("a", "2");
    assertEquals("a=1@2", allPairs());
    assertEquals(2, store.revision());
    store.freeze(false);
    assertEquals("a=2@3", allPairs());
  }
}
