package beaconturn.standin;

/**
 * One cache server as discovery lists it.
 *
 * @param host its name, the same at every router
 * @param place which listening address it has, as a number that the front knows
 * @param site the data centre
 * @param kind the model of machine
 * @param block the group of cache servers that it belongs to
 * @param health its state
 * @param share its rating
 * @param born when it last started, in nanoseconds of the model's clock; 0 for long ago
 */
public record EndpointListing(
    String host,
    int serverIndex,
    String site,
    String kind,
    int block,
    Health health,
    double share,
    long startedAtNanos) {
  /** A state as discovery tells it. */
  public enum Health {
    READY,
    DRAINING,
    GONE
  }

  /** The same with another state. */
  public EndpointListing withHealth(Health other) {
    return new EndpointListing(host, serverIndex, site, kind, block, other, share, startedAtNanos);
  }
}
