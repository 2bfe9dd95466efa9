package beaconturn.release;

import java.util.Locale;

/** What a part of the fleet is. */
public enum InstanceKind {
  /** A router. */
  ROUTER,
  /** A cache server. */
  CACHE;

  /** The word of files and of the store. */
  public String word() {
    return name().toLowerCase(Locale.ROOT);
  }

  /** The kind of that word; null where there is none. */
  public static InstanceKind of(String word) {
    return word.equals("router") ? ROUTER : word.equals("cache") ? CACHE : null;
  }
}
