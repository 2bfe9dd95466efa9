package beaconturn.agreement;

/**
 * What a version says of one class; a field that is null is left as each router is configured.
 *
 * @param effect whether its requests may run more than once
 * @param window how long cache servers discard repeats of a keyed request, in nanoseconds
 * @param deadline the longest that a client may wait, in nanoseconds
 */
public record ClassRule(ClassIdempotency effect, Long window, Long deadline) {
  /** Nothing said. */
  public static final ClassRule UNSAID = new ClassRule(null, null, null);

  /** This rule where it says something, the other elsewhere. */
  ClassRule over(ClassRule other) {
    return new ClassRule(
        effect == null ? other.effect : effect,
        window == null ? other.window : window,
        deadline == null ? other.deadline : deadline);
  }
}
