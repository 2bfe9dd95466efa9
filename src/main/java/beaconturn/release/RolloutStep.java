package beaconturn.release;

/**
 * Where one part stands in a release.
 *
 * @param id of the part
 * @param permit the number under which it is out, or was last
 * @param phase how far it is
 * @param variant what it is to run
 * @param agent the incarnation that began it, else empty
 * @param why it failed, else empty
 * @param started its last start that any router knew of when the step was granted, or -1
 * @param took how long it took to get ready, in nanoseconds; 0 where it is not known
 */
public record RolloutStep(
    String id,
    long permit,
    Phase phase,
    InstanceVariant variant,
    String agent,
    String why,
    long started,
    long took) {
  /** How far a step is. */
  public enum Phase {
    /** The driver has taken a place for it. */
    GRANTED,
    /** An agent acts, or may have acted. */
    BEGUN,
    /** The part runs what it is to run, and is ready. */
    UP,
    /** It does not, within its time. */
    FAILED,
    /** It has stood the check, and its place is given back. */
    GOOD,
    /** It was brought back to what it ran before. */
    UNDONE
  }

  RolloutStep to(Phase next, String agentNow, String reason) {
    return new RolloutStep(id, permit, next, variant, agentNow, reason, started, took);
  }
}
