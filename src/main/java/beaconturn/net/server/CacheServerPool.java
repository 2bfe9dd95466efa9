package beaconturn.net.server;

import beaconturn.core.CacheServerClients;
import beaconturn.core.EndpointUpdate;
import beaconturn.core.OutboundAttempt;
import beaconturn.decision.Endpoint;
import beaconturn.decision.EndpointHealth;
import beaconturn.decision.EndpointListKind;
import beaconturn.net.io.Sockets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.logging.Logger;

/** The actors of the cache servers that the list has named; used by the module's thread alone. */
public final class CacheServerPool implements CacheServerClients {
  private static final Logger LOG = Logger.getLogger(CacheServerPool.class.getName());
  private final CacheServer.Site site;
  private final Map<Long, Known> servers = new HashMap<>();

  /** Those that operators have left out, listed or not. */
  private final Set<Long> out = new HashSet<>();

  /** How many are gone but still have attempts or connections out. */
  private int leaving;

  private record Known(
      CacheServer actor, String host, int zone, EndpointHealth health, long bootTime) {}

  public CacheServerPool(CacheServer.Site site) {
    this.site = site;
  }

  @Override
  public boolean send(OutboundAttempt attempt) {
    dropEnded();
    Known known = servers.get(attempt.serverId());
    return known != null && known.health() != EndpointHealth.GONE && known.actor().send(attempt);
  }

  @Override
  public void abort(OutboundAttempt attempt) {
    Known known = servers.get(attempt.serverId());
    if (known != null) {
      known.actor().abort(attempt);
    }
  }

  @Override
  public void closeIdle(long server) {
    Known known = servers.get(server);
    if (known != null) {
      known.actor().closeIdle();
    }
  }

  @Override
  public void follow(EndpointUpdate news) {
    if (news.kind() == EndpointListKind.FAILED) {
      return;
    }
    dropEnded();
    List<String> changes = new ArrayList<>();
    Set<Long> named = new HashSet<>();
    for (EndpointUpdate.AddressedEndpoint member : news.endpoints()) {
      named.add(member.endpoint().serverId());
      update(member, changes);
    }
    if (news.kind() != EndpointListKind.DELTA) {
      Set<Long> missing = new HashSet<>(servers.keySet());
      missing.removeAll(named);
      missing.forEach(server -> gone(server, changes));
    }
    if (!changes.isEmpty()) {
      // One line: in a large fleet a line a server costs the module's thread more than the news
      // itself.
      LOG.info("list " + news.version() + ": " + String.join("; ", changes));
    }
  }

  private void update(EndpointUpdate.AddressedEndpoint member, List<String> changes) {
    Endpoint entry = member.endpoint();
    if (entry.health() == EndpointHealth.GONE) {
      gone(entry.serverId(), changes);
      return;
    }
    Known old = servers.get(entry.serverId());
    CacheServer actor = old == null ? start(member) : old.actor();
    if (old == null || old.health() != entry.health() || old.bootTime() != entry.bootTimeNanos()) {
      changes.add(
          "cache server "
              + member.host()
              + " at "
              + member.dialAddress()
              + " is "
              + entry.health()
              + (entry.bootTimeNanos() == 0
                  ? ""
                  : ", started " + entry.bootTimeNanos() / 1_000_000));
    }
    if (old != null) {
      leaving -= old.health() == EndpointHealth.GONE ? 1 : 0;
      actor.dial(Sockets.address(member.dialAddress()));
    }
    if (old != null && old.bootTime() != entry.bootTimeNanos()) {
      // What was connected before the restart is dead, even where the peer's end was never heard
      // of.
      actor.closeIdle();
    }
    servers.put(
        entry.serverId(),
        new Known(actor, member.host(), entry.zone(), entry.health(), entry.bootTimeNanos()));
    want(entry.serverId());
  }

  private void want(long server) {
    Known known = servers.get(server);
    known.actor().wanted(known.health() == EndpointHealth.READY && !out.contains(server));
  }

  @Override
  public boolean override(long server, boolean leftOut, boolean mayCome) {
    boolean listed =
        servers.containsKey(server) && servers.get(server).health() != EndpointHealth.GONE;
    if (!listed && !mayCome && !out.contains(server)) {
      return false;
    }
    boolean changes = leftOut ? out.add(server) : out.remove(server);
    if (changes && listed) {
      // Operators restart it while it is out: what is connected now does not live until its return.
      servers.get(server).actor().closeIdle();
      want(server);
    }
    return true;
  }

  @Override
  public ListedServer listed(long server) {
    Known known = servers.get(server);
    return known == null ? null : new ListedServer(known.host(), known.zone(), known.bootTime());
  }

  private CacheServer start(EndpointUpdate.AddressedEndpoint member) {
    CacheServer actor = new CacheServer(site, member.host(), Sockets.address(member.dialAddress()));
    actor.start();
    return actor;
  }

  /** It keeps its actor while attempts are out: they may still be answered or called off. */
  private void gone(long server, List<String> changes) {
    Known known = servers.get(server);
    if (known != null && known.health() != EndpointHealth.GONE) {
      changes.add("cache server " + known.host() + " is gone");
      known.actor().wanted(false);
      known.actor().closeIdle();
      servers.put(
          server, new Known(known.actor(), known.host(), known.zone(), EndpointHealth.GONE, 0));
      leaving++;
    }
  }

  /** Not only at news, which may be long in coming: a thread is kept for each until then. */
  private void dropEnded() {
    if (leaving > 0) {
      int before = servers.size();
      servers.values().removeIf(CacheServerPool::ended);
      leaving -= before - servers.size();
    }
  }

  private static boolean ended(Known known) {
    boolean over = known.health() == EndpointHealth.GONE && known.actor().quiet();
    if (over) {
      known.actor().retire();
    }
    return over;
  }
}
