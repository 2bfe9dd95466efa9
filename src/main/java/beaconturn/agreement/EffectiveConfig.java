package beaconturn.agreement;

/**
 * The configuration that a router may act on: one content until its lease expires and another from
 * then on. The two are equal if no other version can have come into force.
 *
 * @param leaseEndNanos when the lease expires, by the router's clock
 * @param whileLeased the content that applies until the lease expires
 * @param whileLeasedDescription description of that content for logs
 * @param afterLease the content that applies after the lease has expired
 * @param afterLeaseDescription description of that content for logs
 */
public record EffectiveConfig(
    long leaseEndNanos,
    ConfigContent whileLeased,
    String whileLeasedDescription,
    ConfigContent afterLease,
    String afterLeaseDescription) {
  /** Returns the content that applies at the given time. */
  public ConfigContent contentAt(long nowNanos) {
    return nowNanos < leaseEndNanos ? whileLeased : afterLease;
  }

  /** Returns the description of {@link #contentAt}. */
  public String descriptionAt(long nowNanos) {
    return nowNanos < leaseEndNanos ? whileLeasedDescription : afterLeaseDescription;
  }
}
