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

/** Parses discovery's JSON endpoint lists into endpoint updates. Immutable; safe for any thread. */
public final class EndpointListParser {
  private static final Logger LOG = Logger.getLogger(EndpointListParser.class.getName());
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final double DEFAULT_RATING = 1;

  private final RouterSettings settings;

  /** Creates a parser that resolves names of zones and server kinds by the settings. */
  public EndpointListParser(RouterSettings settings) {
    this.settings = settings;
  }

  /**
   * Parses a response of discovery. Skips entries that are malformed.
   *
   * @throws ProtocolException if the response contains no list
   */
  EndpointUpdate read(Json response) throws ProtocolException {
    boolean complete = response.get("whole").asText("false").equals("true");
    return read(response, complete ? EndpointListKind.FULL : EndpointListKind.DELTA);
  }

  /**
   * Parses the list that the router starts with, which may be out of date.
   *
   * @throws ProtocolException if the value contains no list
   */
  public EndpointUpdate readInitial(Json list) throws ProtocolException {
    return read(list, EndpointListKind.CACHED);
  }

  private EndpointUpdate read(Json list, EndpointListKind kind) throws ProtocolException {
    if (!(list.get("hosts") instanceof Json.Items)) {
      throw new ProtocolException("endpoint list without an array 'hosts'");
    }
    List<EndpointUpdate.AddressedEndpoint> members = new ArrayList<>();
    for (Json entry : list.get("hosts").items()) {
      try {
        members.add(member(entry));
      } catch (ProtocolException e) {
        // A malformed entry must not prevent the update of the others.
        LOG.warning("endpoint list: entry skipped: " + e.getMessage());
      }
    }
    return new EndpointUpdate((long) number(list, "seq", 0), kind, List.copyOf(members));
  }

  private EndpointUpdate.AddressedEndpoint member(Json entry) throws ProtocolException {
    String host = entry.get("host").asText("");
    EndpointHealth health = health(entry.get("health").asText(""));
    String dial = entry.get("dial").asText("");
    if (host.isEmpty()) {
      throw new ProtocolException("entry without a host");
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
        settings.zones().indexOf(entry.get("site").asText("")),
        settings.kinds().indexOf(entry.get("class").asText("")),
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

  private static EndpointHealth health(String name) throws ProtocolException {
    return switch (name) {
      case "ready" -> EndpointHealth.READY;
      case "draining" -> EndpointHealth.DRAINING;
      case "gone" -> EndpointHealth.GONE;
      default -> throw new ProtocolException("unknown health '" + name + "'");
    };
  }

  private static double number(Json object, String name, double fallback) throws ProtocolException {
    try {
      return Double.parseDouble(object.get(name).asText(Double.toString(fallback)));
    } catch (NumberFormatException e) {
      throw new ProtocolException(name + " is not a number");
    }
  }
}
