package beaconturn.net.discovery;

import beaconturn.core.EndpointUpdate;
import beaconturn.core.RouterSettings;
import beaconturn.decision.Endpoint;
import beaconturn.decision.EndpointHealth;
import beaconturn.decision.EndpointListKind;
import beaconturn.net.io.Fnv1a;
import beaconturn.net.io.Sockets;
import beaconturn.protocol.Json;
import beaconturn.protocol.ProtocolException;
import java.util.ArrayList;
import java.util.List;
import java.util.logging.Logger;

/**
 * Maps discovery's JSON form of the endpoint list to endpoint updates. Immutable; for any thread.
 */
public final class EndpointListParser {
  private static final Logger LOG = Logger.getLogger(EndpointListParser.class.getName());
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final double DEFAULT_RATING = 1;

  private final RouterSettings settings;

  /** A parser that knows zones and kinds of servers by their names in the settings. */
  public EndpointListParser(RouterSettings settings) {
    this.settings = settings;
  }

  /**
   * The update in an answer of discovery.
   *
   * @throws ProtocolException if it holds no list; a single entry that cannot be read is left out
   */
  EndpointUpdate read(Json answer) throws ProtocolException {
    boolean complete = answer.get("whole").word("false").equals("true");
    return read(answer, complete ? EndpointListKind.FULL : EndpointListKind.DELTA);
  }

  /**
   * The list that the router had before it started; it may be old.
   *
   * @throws ProtocolException if there is none
   */
  public EndpointUpdate readInitial(Json list) throws ProtocolException {
    return read(list, EndpointListKind.CACHED);
  }

  private EndpointUpdate read(Json list, EndpointListKind kind) throws ProtocolException {
    if (!(list.get("hosts") instanceof Json.Items)) {
      throw new ProtocolException("list without hosts");
    }
    List<EndpointUpdate.AddressedEndpoint> members = new ArrayList<>();
    for (Json entry : list.get("hosts").items()) {
      try {
        members.add(member(entry));
      } catch (ProtocolException e) {
        // One unreadable entry must not keep the others from being followed.
        LOG.warning("list: line left out: " + e.getMessage());
      }
    }
    return new EndpointUpdate((long) number(list, "seq", 0), kind, List.copyOf(members));
  }

  private EndpointUpdate.AddressedEndpoint member(Json entry) throws ProtocolException {
    String host = entry.get("host").word("");
    EndpointHealth health = health(entry.get("health").word(""));
    String dial = entry.get("dial").word("");
    if (host.isEmpty()) {
      throw new ProtocolException("list line without a host");
    }
    if (health != EndpointHealth.GONE) {
      checkAddress(dial);
    }
    return new EndpointUpdate.AddressedEndpoint(endpoint(entry, host, health), host, dial);
  }

  private Endpoint endpoint(Json entry, String host, EndpointHealth health)
      throws ProtocolException {
    return new Endpoint(
        Fnv1a.of(host),
        settings.zones().indexOf(entry.get("site").word("")),
        settings.kinds().indexOf(entry.get("class").word("")),
        (int) number(entry, "block", 0),
        health,
        number(entry, "share", DEFAULT_RATING),
        ((long) number(entry, "born_ms", 0)) * NANOS_PER_MILLI);
  }

  private static void checkAddress(String dial) throws ProtocolException {
    try {
      Sockets.address(dial);
    } catch (IllegalArgumentException e) {
      throw new ProtocolException("dial is " + e.getMessage());
    }
  }

  private static EndpointHealth health(String word) throws ProtocolException {
    return switch (word) {
      case "ready" -> EndpointHealth.READY;
      case "draining" -> EndpointHealth.DRAINING;
      case "gone" -> EndpointHealth.GONE;
      default -> throw new ProtocolException("unknown health '" + word + "'");
    };
  }

  private static double number(Json object, String name, double fallback) throws ProtocolException {
    try {
      return Double.parseDouble(object.get(name).word(Double.toString(fallback)));
    } catch (NumberFormatException e) {
      throw new ProtocolException(name + " is not a number");
    }
  }
}
