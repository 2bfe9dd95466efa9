package beaconturn.agreement;

/**
 * What a router may act on: one content until its lease ends, another from then on; they are the
 * same where nothing else can have come into force.
 *
 * @param leaseEndNanos the end of the lease, by the router's clock
 * @param whileLeased what is acted on before
 * @param whileLeasedDescription in words
 * @param afterLease what is acted on from then on
 * @param afterLeaseDescription in words
 */
public record EffectiveConfig(
    long leaseEndNanos,
    ConfigContent whileLeased,
    String whileLeasedDescription,
    ConfigContent afterLease,
    String afterLeaseDescription) {
  /** What may be acted on at the time. */
  public ConfigContent contentAt(long nowNanos) {
    return nowNanos < leaseEndNanos ? whileLeased : afterLease;
  }

  /** The same in words. */
  public String descriptionAt(long nowNanos) {
    return nowNanos < leaseEndNanos ? whileLeasedDescription : afterLeaseDescription;
  }
}
