package beaconturn.release;

/**
 * The state of a rollout.
 *
 * @param mode whether steps are taken, and in which direction
 * @param reason why it is in that mode
 * @param author the operator or driver who put it in that mode
 */
public record RolloutState(RolloutMode mode, String reason, String author) {
  /** The state before the first release. */
  public static final RolloutState NONE = new RolloutState(RolloutMode.COMPLETED, "", "");

  /** Whether the release has ended. */
  public boolean isOver() {
    return switch (mode) {
      case COMPLETED, ROLLED_BACK, ABANDONED -> true;
      case RUNNING, HALTED, ROLLING_BACK -> false;
    };
  }
}
