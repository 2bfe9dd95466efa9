package beaconturn.release;

/** Variants of an instance during a release. */
public enum InstanceVariant implements SerializedName {
  /** The variant that the instance ran before the release. */
  OLD("old"),
  /** The variant that is released. */
  NEW("new");

  private final String serializedName;

  InstanceVariant(String serializedName) {
    this.serializedName = serializedName;
  }

  @Override
  public String serializedName() {
    return serializedName;
  }
}
