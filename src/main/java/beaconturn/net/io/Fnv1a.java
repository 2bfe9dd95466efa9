package beaconturn.net.io;

import beaconturn.protocol.Slice;
import java.nio.charset.StandardCharsets;

/**
 * The number that stands for a name; FNV-1a, so that every router and every start finds the same
 * one.
 */
public final class Fnv1a {
  private static final long BASIS = 0xcbf29ce484222325L;
  private static final long PRIME = 0x100000001b3L;

  private Fnv1a() {}

  /** The number of a cache server comes from its name, which is the same at every router. */
  public static long of(String host) {
    byte[] name = host.getBytes(StandardCharsets.UTF_8);
    return of(new Slice(name, 0, name.length));
  }

  public static long of(Slice name) {
    long hash = BASIS;
    for (int i = 0; i < name.length(); i++) {
      hash = (hash ^ (name.at(i) & 0xff)) * PRIME;
    }
    return hash;
  }
}
