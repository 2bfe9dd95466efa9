package beaconturn.release;

/** Modes of a rollout: whether steps are taken, and in which direction. */
public enum RolloutMode implements SerializedName {
  /** Instances are changed, wave after wave. */
  RUNNING("running"),
  /**
   * No step begins. Only an operator halts a release, and only an operator resumes it or rolls it
   * back.
   */
  HALTED("halted"),
  /** Changed instances are brought back in the reverse order. */
  ROLLING_BACK("backing"),
  /** All instances run what is released. */
  COMPLETED("done"),
  /** All instances run again what they ran before. */
  ROLLED_BACK("back"),
  /** An operator has left all as it was. */
  ABANDONED("abandoned");

  private final String word;

  RolloutMode(String word) {
    this.word = word;
  }

  /** Its word in the store and in output. */
  @Override
  public String serializedName() {
    return word;
  }
}
