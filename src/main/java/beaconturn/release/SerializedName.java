package beaconturn.release;

/**
 * Constants with a word of their own in the store, in files and in output. The word is independent
 * of the constant's name, so that renaming a constant cannot change what builds exchange.
 */
public interface SerializedName {
  /** The word. */
  String serializedName();
}
