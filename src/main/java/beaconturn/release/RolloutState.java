package beaconturn.release;

/**
 * The state of a rollout.
 *
 * @param mode whether steps are taken, and in which direction
 * @param reason why the rollout is in that mode
 * @param author operator or driver that set the mode
 */
public record RolloutState(RolloutMode mode, String reason, String author) {
  /** The state before the first release. */
  public static final RolloutState NONE = new RolloutState(RolloutMode.COMPLETED, "", "");

  public boolean isOver() {
    return switch (mode) {
      case COMPLETED, ROLLED_BACK, ABANDONED -> true;
      case RUNNING, HALTED, ROLLING_BACK -> false;
    };
  }
}
