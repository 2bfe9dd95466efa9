package beaconturn.agreement;

/**
 * What a router may act on: one content until its lease ends, another from then on; they are the
 * same where nothing else can have come into force.
 *
 * @param until the end of the lease, by the router's clock, in nanoseconds
 * @param held what is acted on before
 * @param heldAs in words
 * @param after what is acted on from then on
 * @param afterAs in words
 */
public record EffectiveConfig(
    long until, ConfigContent held, String heldAs, ConfigContent after, String afterAs) {
  /** What may be acted on at the time. */
  public ConfigContent at(long now) {
    return now < until ? held : after;
  }

  /** The same in words. */
  public String says(long now) {
    return now < until ? heldAs : afterAs;
  }
}
