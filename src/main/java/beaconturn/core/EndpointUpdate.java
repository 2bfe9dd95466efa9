package beaconturn.core;

import beaconturn.decision.Endpoint;
import beaconturn.decision.EndpointListKind;
import beaconturn.decision.RoutingEvent;
import java.util.List;

/** News of the list of cache servers, with the addresses that the module does not need. */
public record EndpointUpdate(long version, EndpointListKind kind, List<Member> members) {
  /** One line of the list; {@code dial} is where this router reaches the cache server. */
  public record Member(Endpoint entry, String host, String dial) {}

  /** A call for the list failed, or the watch broke. */
  public static EndpointUpdate failed() {
    return new EndpointUpdate(0, EndpointListKind.FAILED, List.of());
  }

  RoutingEvent.EndpointsUpdated event() {
    return new RoutingEvent.EndpointsUpdated(
        version, kind, members.stream().map(Member::entry).toList());
  }
}
