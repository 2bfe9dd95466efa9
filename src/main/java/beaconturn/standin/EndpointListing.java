package beaconturn.standin;

/**
 * One cache server's entry in discovery's endpoint list.
 *
 * @param host its name, the same for all routers
 * @param serverIndex index of its listening addresses in the fleet
 * @param site the data centre
 * @param kind the machine model
 * @param block the group of cache servers that it belongs to
 * @param health its state
 * @param share its rated share of the load
 * @param startedAtNanos when it last started, on the model's clock; 0 if it has long been warm
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
  /** State of a cache server, as discovery reports it. */
  public enum Health {
    READY,
    DRAINING,
    GONE
  }

  /** Returns the same entry in another state. */
  public EndpointListing withHealth(Health other) {
    return new EndpointListing(host, serverIndex, site, kind, block, other, share, startedAtNanos);
  }
}
