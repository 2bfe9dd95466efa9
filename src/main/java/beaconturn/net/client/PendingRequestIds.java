package beaconturn.net.client;

import beaconturn.protocol.Slice;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The ids of the requests that wait for their answer, of all clients. A second request under an id
 * that is open would be answered in the place of the first, or the first in its; so it is rejected.
 * For any thread.
 */
public final class PendingRequestIds {
  private final Set<String> open = ConcurrentHashMap.newKeySet();

  /** Opens the id; false if it is open. */
  boolean open(Slice id) {
    return open.add(text(id));
  }

  /** Frees the id. */
  void close(Slice id) {
    open.remove(text(id));
  }

  /** How many ids are open. */
  int count() {
    return open.size();
  }

  private static String text(Slice id) {
    return new String(id.array(), id.from(), id.length(), StandardCharsets.ISO_8859_1);
  }
}
