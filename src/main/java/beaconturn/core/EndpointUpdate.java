package beaconturn.core;

import beaconturn.decision.Endpoint;
import beaconturn.decision.EndpointListKind;
import beaconturn.decision.RoutingEvent;
import java.util.List;

/**
 * A change of the endpoint list, with the addresses that the policy does not need.
 *
 * @param version the list's version after it
 * @param kind whether it is complete, a change, or a failure to get one
 * @param endpoints the endpoints that it names
 */
public record EndpointUpdate(
    long version, EndpointListKind kind, List<AddressedEndpoint> endpoints) {
  /**
   * One endpoint with its addresses.
   *
   * @param endpoint what the policy knows of it
   * @param host its name, from which its number comes
   * @param dialAddress where this router reaches it, as host:port
   */
  public record AddressedEndpoint(Endpoint endpoint, String host, String dialAddress) {}

  /** What is made of a poll that failed, or a watch that broke. */
  public static EndpointUpdate failed() {
    return new EndpointUpdate(0, EndpointListKind.FAILED, List.of());
  }

  /** The event that the policy gets of it. */
  RoutingEvent.EndpointsUpdated event() {
    return new RoutingEvent.EndpointsUpdated(
        version, kind, endpoints.stream().map(AddressedEndpoint::endpoint).toList());
  }
}
