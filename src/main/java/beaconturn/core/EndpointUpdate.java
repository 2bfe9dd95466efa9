package beaconturn.core;

import beaconturn.decision.Routing;
import java.util.List;

/** News of the list of cache servers, with the addresses that the module does not need. */
public record EndpointUpdate(long version, Routing.ListKind kind, List<Member> members) {
  /** One line of the list; {@code dial} is where this router reaches the cache server. */
  public record Member(Routing.ServerEntry entry, String host, String dial) {}

  /** A call for the list failed, or the watch broke. */
  public static EndpointUpdate failed() {
    return new EndpointUpdate(0, Routing.ListKind.FAILED, List.of());
  }

  Routing.ServerList event() {
    return new Routing.ServerList(version, kind, members.stream().map(Member::entry).toList());
  }
}
