package beaconturn.net.client;

import beaconturn.protocol.Slice;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The ids of pending requests, over all clients. A second request with the same id is rejected, as
 * the responses of the two could be confused. For any thread.
 */
public final class PendingRequestIds {
  private final Set<String> reserved = ConcurrentHashMap.newKeySet();

  /** Reserves the id; false if a pending request has it. */
  boolean reserve(Slice id) {
    return reserved.add(text(id));
  }

  void release(Slice id) {
    reserved.remove(text(id));
  }

  int count() {
    return reserved.size();
  }

  private static String text(Slice id) {
    return new String(id.array(), id.from(), id.length(), StandardCharsets.ISO_8859_1);
  }
}
