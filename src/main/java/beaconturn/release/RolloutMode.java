package beaconturn.release;

/** Modes of a rollout: whether steps are taken, and in which direction. */
public enum RolloutMode implements SerializedName {
  /** Instances are changed, wave after wave. */
  RUNNING("running"),
  /**
   * No step starts. Only an operator halts a release, and only an operator resumes it or rolls it
   * back.
   */
  HALTED("halted"),
  /** Changed instances are rolled back in the reverse order of the plan. */
  ROLLING_BACK("backing"),
  /** All instances of the plan run the new variant. */
  COMPLETED("done"),
  /** All instances of the plan run the old variant again. */
  ROLLED_BACK("back"),
  /** An operator has ended the release and left all instances as they were. */
  ABANDONED("abandoned");

  private final String serializedName;

  RolloutMode(String serializedName) {
    this.serializedName = serializedName;
  }

  @Override
  public String serializedName() {
    return serializedName;
  }
}
