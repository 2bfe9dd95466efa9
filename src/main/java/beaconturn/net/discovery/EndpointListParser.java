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

/** Turns discovery's form of the list into news for the module. */
public final class EndpointListParser {
  private static final Logger LOG = Logger.getLogger(EndpointListParser.class.getName());
  private static final long MILLI = 1_000_000;
  private final RouterSettings settings;

  public EndpointListParser(RouterSettings settings) {
    this.settings = settings;
  }

  /** The news in an answer of discovery. */
  EndpointUpdate read(Json answer) throws ProtocolException {
    boolean whole = answer.get("whole").word("false").equals("true");
    return read(answer, whole ? EndpointListKind.FULL : EndpointListKind.DELTA);
  }

  /** The list that the router had before it started; it may be old. */
  public EndpointUpdate known(Json answer) throws ProtocolException {
    return read(answer, EndpointListKind.CACHED);
  }

  private EndpointUpdate read(Json answer, EndpointListKind kind) throws ProtocolException {
    if (!(answer.get("hosts") instanceof Json.Items)) {
      throw new ProtocolException("list without hosts");
    }
    List<EndpointUpdate.AddressedEndpoint> members = new ArrayList<>();
    for (Json line : answer.get("hosts").items()) {
      try {
        members.add(member(line));
      } catch (ProtocolException e) {
        // One unreadable line must not keep the others from being followed.
        LOG.warning("list: line left out: " + e.getMessage());
      }
    }
    return new EndpointUpdate((long) number(answer, "seq", 0), kind, List.copyOf(members));
  }

  private EndpointUpdate.AddressedEndpoint member(Json line) throws ProtocolException {
    String host = line.get("host").word("");
    EndpointHealth health = health(line.get("health").word(""));
    String dial = line.get("dial").word("");
    if (host.isEmpty()) {
      throw new ProtocolException("list line without a host");
    }
    if (health != EndpointHealth.GONE) {
      checkAddress(dial);
    }
    Endpoint entry =
        new Endpoint(
            Fnv1a.of(host),
            settings.zones().indexOf(line.get("site").word("")),
            settings.kinds().indexOf(line.get("class").word("")),
            (int) number(line, "block", 0),
            health,
            number(line, "share", 1),
            ((long) number(line, "born_ms", 0)) * MILLI);
    return new EndpointUpdate.AddressedEndpoint(entry, host, dial);
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

  private static double number(Json line, String name, double fallback) throws ProtocolException {
    try {
      return Double.parseDouble(line.get(name).word(Double.toString(fallback)));
    } catch (NumberFormatException e) {
      throw new ProtocolException(name + " is not a number");
    }
  }
}
