package beaconturn.release;

/**
 * What a release is at.
 *
 * @param mode whether steps are taken, and which way
 * @param why it is so
 * @param by who said so
 */
public record RolloutState(Mode mode, String why, String by) {
  /** No release was ever begun. */
  public static final RolloutState NONE = new RolloutState(Mode.DONE, "", "");

  /** Whether steps are taken, and which way. */
  public enum Mode {
    /** Wave after wave. */
    RUNNING,
    /** No step begins. */
    HALTED,
    /** Steps are undone in the reverse order. */
    BACKING,
    /** All parts run what is released. */
    DONE,
    /** All parts run again what they ran before. */
    BACK,
    /** Left as it is, by an operator. */
    ABANDONED
  }

  /** Whether it is over. */
  public boolean over() {
    return mode == Mode.DONE || mode == Mode.BACK || mode == Mode.ABANDONED;
  }
}
