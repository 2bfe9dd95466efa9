package beaconturn.net.io;

import beaconturn.protocol.Slice;
import java.nio.charset.StandardCharsets;

/**
 * The 64-bit FNV-1a hash, which maps names to ids that are the same at every router and after every
 * restart. For any thread.
 */
public final class Fnv1a {
  private static final long OFFSET_BASIS = 0xcbf29ce484222325L;
  private static final long PRIME = 0x100000001b3L;

  private Fnv1a() {}

  /** The id of a cache server, from its name. */
  public static long of(String name) {
    byte[] bytes = name.getBytes(StandardCharsets.UTF_8);
    return of(new Slice(bytes, 0, bytes.length));
  }

  /** The hash of a name in bytes. */
  public static long of(Slice name) {
    long hash = OFFSET_BASIS;
    for (int i = 0; i < name.length(); i++) {
      hash = (hash ^ (name.at(i) & 0xff)) * PRIME;
    }
    return hash;
  }
}
