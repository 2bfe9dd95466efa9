package beaconturn.core;

import beaconturn.decision.Endpoint;
import beaconturn.decision.EndpointListKind;
import beaconturn.decision.RoutingEvent;
import java.util.List;

/**
 * An update of the endpoint list, including the addresses, which the policy does not use.
 *
 * @param version the version of the list after the update
 * @param kind whether the update is a complete list, a change, or a failed call
 * @param endpoints the endpoints in the update
 */
public record EndpointUpdate(
    long version, EndpointListKind kind, List<AddressedEndpoint> endpoints) {
  /**
   * An endpoint with its addresses.
   *
   * @param endpoint the endpoint's properties for the policy
   * @param host the name whose hash is the server id
   * @param dialAddress the address to connect to, as host:port
   */
  public record AddressedEndpoint(Endpoint endpoint, String host, String dialAddress) {}

  /** The update that reports a failed fetch or watch. */
  public static EndpointUpdate failed() {
    return new EndpointUpdate(0, EndpointListKind.FAILED, List.of());
  }

  /** The policy event for this update. */
  RoutingEvent.EndpointsUpdated event() {
    return new RoutingEvent.EndpointsUpdated(
        version, kind, endpoints.stream().map(AddressedEndpoint::endpoint).toList());
  }
}
