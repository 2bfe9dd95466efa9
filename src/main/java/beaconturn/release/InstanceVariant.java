package beaconturn.release;

import java.util.Locale;

/** What a part runs, of the two that a release is about. */
public enum InstanceVariant {
  /** What it ran before. */
  OLD,
  /** What is released. */
  NEW;

  /** The word of commands and of the store. */
  public String word() {
    return name().toLowerCase(Locale.ROOT);
  }
}
