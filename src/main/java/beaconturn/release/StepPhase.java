package beaconturn.release;

/** Phases of the step of an instance in a release. */
public enum StepPhase implements SerializedName {
  /** The driver has acquired a disruption permit for the instance. */
  GRANTED("granted"),
  /** An agent executes the step, or may have executed it. */
  STARTED("begun"),
  /** The instance runs the target variant and is ready. */
  READY("up"),
  /** The instance did not become ready, or the step was interrupted. */
  FAILED("failed"),
  /** The instance has passed the canary check, and its permit is returned. */
  VERIFIED("good"),
  /** The instance runs the old variant again, and its permit is returned. */
  ROLLED_BACK("undone");

  private final String serializedName;

  StepPhase(String serializedName) {
    this.serializedName = serializedName;
  }

  @Override
  public String serializedName() {
    return serializedName;
  }
}
