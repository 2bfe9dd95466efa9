package beaconturn.release;

/** Phases that an instance goes through in a release. */
public enum StepPhase implements SerializedName {
  /** The driver has taken a disruption permit for it. */
  GRANTED("granted"),
  /** An agent acts on it, or may have acted. */
  STARTED("begun"),
  /** It runs the variant it is to run, and is ready. */
  READY("up"),
  /** It did not get ready in time. */
  FAILED("failed"),
  /** It has passed the canary check, and its permit is returned. */
  VERIFIED("good"),
  /** It runs again what it ran before. */
  ROLLED_BACK("undone");

  private final String word;

  StepPhase(String word) {
    this.word = word;
  }

  /** Its word in the store and in output. */
  @Override
  public String serializedName() {
    return word;
  }
}
