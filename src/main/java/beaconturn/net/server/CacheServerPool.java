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

/**
 * The cache servers of the endpoint list, each with its actor; keeps up with endpoint updates and
 * operator overrides. For the routing thread alone.
 */
public final class CacheServerPool implements CacheServerClients {
  private static final Logger LOG = Logger.getLogger(CacheServerPool.class.getName());
  private static final long NANOS_PER_MILLI = 1_000_000;

  /** A cache server as the endpoint list has it, and its actor. */
  private record PooledServer(
      CacheServer actor, String host, int zone, EndpointHealth health, long bootTimeNanos) {
    boolean isGone() {
      return health == EndpointHealth.GONE;
    }

    /** Whether the list says the same of the server as it does now. */
    boolean sameState(Endpoint entry) {
      return health == entry.health() && bootTimeNanos == entry.bootTimeNanos();
    }
  }

  private final CacheServerEnvironment environment;
  private final Map<Long, PooledServer> servers = new HashMap<>();

  /** Servers that operators have excluded, by id, whether or not they are on the list. */
  private final Set<Long> excluded = new HashSet<>();

  /** How many in {@link #servers} are gone but may still have attempts or connections out. */
  private int goneCount;

  /** An empty pool. */
  public CacheServerPool(CacheServerEnvironment environment) {
    this.environment = environment;
  }

  @Override
  public boolean send(OutboundAttempt attempt) {
    dropEnded();
    PooledServer server = servers.get(attempt.serverId());
    return server != null && !server.isGone() && server.actor().send(attempt);
  }

  @Override
  public void abort(OutboundAttempt attempt) {
    PooledServer server = servers.get(attempt.serverId());
    if (server != null) {
      server.actor().abort(attempt);
    }
  }

  @Override
  public void closeIdle(long serverId) {
    PooledServer server = servers.get(serverId);
    if (server != null) {
      server.actor().closeIdle();
    }
  }

  @Override
  public void follow(EndpointUpdate update) {
    if (update.kind() == EndpointListKind.FAILED) {
      return;
    }
    dropEnded();
    List<String> changes = new ArrayList<>();
    Set<Long> listed = new HashSet<>();
    for (EndpointUpdate.AddressedEndpoint member : update.endpoints()) {
      listed.add(member.endpoint().serverId());
      followMember(member, changes);
    }
    if (update.kind() != EndpointListKind.DELTA) {
      removeAllBut(listed, changes);
    }
    if (!changes.isEmpty()) {
      // One line: in a large fleet a line for each server costs the routing thread more than the
      // update itself.
      LOG.info("list " + update.version() + ": " + String.join("; ", changes));
    }
  }

  private void removeAllBut(Set<Long> listed, List<String> changes) {
    Set<Long> missing = new HashSet<>(servers.keySet());
    missing.removeAll(listed);
    missing.forEach(serverId -> remove(serverId, changes));
  }

  private void followMember(EndpointUpdate.AddressedEndpoint member, List<String> changes) {
    Endpoint entry = member.endpoint();
    if (entry.health() == EndpointHealth.GONE) {
      remove(entry.serverId(), changes);
      return;
    }
    PooledServer old = servers.get(entry.serverId());
    if (old == null || !old.sameState(entry)) {
      changes.add(describe(member));
    }
    CacheServer actor = old == null ? startActor(member) : followKnown(old, member);
    servers.put(
        entry.serverId(),
        new PooledServer(
            actor, member.host(), entry.zone(), entry.health(), entry.bootTimeNanos()));
    updateAcceptance(entry.serverId());
  }

  private static String describe(EndpointUpdate.AddressedEndpoint member) {
    Endpoint entry = member.endpoint();
    String state =
        "cache server " + member.host() + " at " + member.dialAddress() + " is " + entry.health();
    if (entry.bootTimeNanos() == 0) {
      return state;
    }
    return state + ", started " + entry.bootTimeNanos() / NANOS_PER_MILLI;
  }

  private CacheServer startActor(EndpointUpdate.AddressedEndpoint member) {
    CacheServer actor =
        new CacheServer(environment, member.host(), Sockets.address(member.dialAddress()));
    actor.start();
    return actor;
  }

  private CacheServer followKnown(PooledServer old, EndpointUpdate.AddressedEndpoint member) {
    if (old.isGone()) {
      goneCount--;
    }
    old.actor().address(Sockets.address(member.dialAddress()));
    if (old.bootTimeNanos() != member.endpoint().bootTimeNanos()) {
      // A connection from before the restart is dead, even where the peer's end never arrived: a
      // request written to it would be lost.
      old.actor().closeIdle();
    }
    return old.actor();
  }

  private void updateAcceptance(long serverId) {
    PooledServer server = servers.get(serverId);
    server
        .actor()
        .acceptsRequests(server.health() == EndpointHealth.READY && !excluded.contains(serverId));
  }

  @Override
  public boolean override(long serverId, boolean exclude, boolean allowUnlisted) {
    PooledServer server = servers.get(serverId);
    boolean listed = server != null && !server.isGone();
    if (!listed && !allowUnlisted && !excluded.contains(serverId)) {
      return false;
    }
    boolean changed = exclude ? excluded.add(serverId) : excluded.remove(serverId);
    if (changed && listed) {
      // Operators restart a server while it is out: what is connected now is dead at its return.
      server.actor().closeIdle();
      updateAcceptance(serverId);
    }
    return true;
  }

  @Override
  public ListedServer listed(long serverId) {
    PooledServer server = servers.get(serverId);
    return server == null
        ? null
        : new ListedServer(server.host(), server.zone(), server.bootTimeNanos());
  }

  /**
   * Marks a server as gone. It keeps its actor while attempts are out, as they may still be
   * answered or given up.
   */
  private void remove(long serverId, List<String> changes) {
    PooledServer server = servers.get(serverId);
    if (server == null || server.isGone()) {
      return;
    }
    changes.add("cache server " + server.host() + " is gone");
    server.actor().acceptsRequests(false);
    server.actor().closeIdle();
    servers.put(
        serverId,
        new PooledServer(server.actor(), server.host(), server.zone(), EndpointHealth.GONE, 0));
    goneCount++;
  }

  /**
   * Retires the actors of servers that are gone and have nothing out. Also called at each send, as
   * endpoint updates may be long in coming.
   */
  private void dropEnded() {
    if (goneCount > 0) {
      int before = servers.size();
      servers.values().removeIf(CacheServerPool::retireIfQuiet);
      goneCount -= before - servers.size();
    }
  }

  private static boolean retireIfQuiet(PooledServer server) {
    boolean over = server.isGone() && server.actor().isQuiet();
    if (over) {
      server.actor().retire();
    }
    return over;
  }
}
