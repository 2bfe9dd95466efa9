package beaconturn.release;

/** The two variants of an instance that a release is about. */
public enum InstanceVariant implements SerializedName {
  /** What the instance ran before the release. */
  OLD("old"),
  /** What is released. */
  NEW("new");

  private final String word;

  InstanceVariant(String word) {
    this.word = word;
  }

  /** Its word in commands, in their environment and in the store. */
  @Override
  public String serializedName() {
    return word;
  }
}
