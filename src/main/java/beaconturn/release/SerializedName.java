package beaconturn.release;

/**
 * An enum constant with a name of its own in the store, in files and in output. The serialized name
 * is independent of the constant's name, so that builds that name a constant differently can still
 * read each other's data.
 */
public interface SerializedName {
  /** Returns the name in the store, in files and in output. */
  String serializedName();
}
