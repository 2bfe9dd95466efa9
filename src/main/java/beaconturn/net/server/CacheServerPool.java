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
 * The actors of the cache servers on the endpoint list; applies endpoint updates and operator
 * overrides. Confined to the routing thread.
 */
public final class CacheServerPool implements CacheServerClients {
  private static final Logger LOG = Logger.getLogger(CacheServerPool.class.getName());
  private static final long NANOS_PER_MILLI = 1_000_000;

  /** A cache server as stated in the endpoint list, and its actor. */
  private record PooledServer(
      CacheServer actor,
      String host,
      String dialAddress,
      int zone,
      EndpointHealth health,
      long bootTimeNanos) {
    boolean isGone() {
      return health == EndpointHealth.GONE;
    }

    /** Whether the server's state is the same in the new endpoint list. */
    boolean sameState(Endpoint entry) {
      return health == entry.health() && bootTimeNanos == entry.bootTimeNanos();
    }
  }

  private final CacheServerEnvironment environment;
  private final Map<Long, PooledServer> servers = new HashMap<>();

  /** The server that started last of those listed at an address. */
  private final Map<String, Long> latestByAddress = new HashMap<>();

  /** The ids of servers excluded by operators, listed or not. */
  private final Set<Long> excluded = new HashSet<>();

  /** The number of {@link #servers} that are gone but may still have attempts or connections. */
  private int goneCount;

  /** Creates an empty pool. */
  public CacheServerPool(CacheServerEnvironment environment) {
    this.environment = environment;
  }

  @Override
  public boolean send(OutboundAttempt attempt) {
    retireInactive();
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
  public void applyUpdate(EndpointUpdate update) {
    if (update.kind() == EndpointListKind.FAILED) {
      return;
    }
    retireInactive();
    List<String> changes = new ArrayList<>();
    Set<Long> listed = new HashSet<>();
    for (EndpointUpdate.AddressedEndpoint member : update.endpoints()) {
      listed.add(member.endpoint().serverId());
      updateMember(member, changes);
    }
    if (update.kind() != EndpointListKind.DELTA) {
      removeAllBut(listed, changes);
    }
    if (!changes.isEmpty()) {
      // One line per update: in a large fleet, logging a line per server costs the routing thread
      // more than applying the update.
      LOG.info("endpoint list " + update.version() + ": " + String.join("; ", changes));
    }
  }

  private void removeAllBut(Set<Long> listed, List<String> changes) {
    Set<Long> missing = new HashSet<>(servers.keySet());
    missing.removeAll(listed);
    missing.forEach(serverId -> remove(serverId, changes));
  }

  private void updateMember(EndpointUpdate.AddressedEndpoint member, List<String> changes) {
    Endpoint entry = member.endpoint();
    if (entry.health() == EndpointHealth.GONE) {
      remove(entry.serverId(), changes);
      return;
    }
    PooledServer old = servers.get(entry.serverId());
    if (old == null || !old.sameState(entry)) {
      changes.add(describe(member));
    }
    CacheServer actor = old == null ? startActor(member) : updateKnown(old, member);
    servers.put(
        entry.serverId(),
        new PooledServer(
            actor,
            member.host(),
            member.dialAddress(),
            entry.zone(),
            entry.health(),
            entry.bootTimeNanos()));
    updateAddress(entry.serverId());
    updateAcceptance(entry.serverId());
  }

  /**
   * Records which server started last at the address. The process of any other server at that
   * address is gone although it is still listed: what is sent to it would reach the later one.
   */
  private void updateAddress(long serverId) {
    PooledServer server = servers.get(serverId);
    Long latestId = latestByAddress.get(server.dialAddress());
    PooledServer latest = latestId == null ? null : servers.get(latestId);
    boolean replaces =
        latest == null
            || latest.isGone()
            || !latest.dialAddress().equals(server.dialAddress())
            || latest.bootTimeNanos() <= server.bootTimeNanos();
    if (!replaces) {
      return;
    }
    latestByAddress.put(server.dialAddress(), serverId);
    if (latest != null && latestId != serverId && isSuperseded(latest)) {
      LOG.warning(
          "cache server "
              + server.host()
              + " started at "
              + server.dialAddress()
              + ", the address of cache server "
              + latest.host()
              + ", which gets no more requests");
      latest.actor().closeIdle();
      updateAcceptance(latestId);
    }
  }

  private boolean isSuperseded(PooledServer server) {
    Long latestId = latestByAddress.get(server.dialAddress());
    PooledServer latest = latestId == null ? null : servers.get(latestId);
    return latest != null
        && !latest.isGone()
        && latest.dialAddress().equals(server.dialAddress())
        && latest.bootTimeNanos() > server.bootTimeNanos();
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

  private CacheServer updateKnown(PooledServer old, EndpointUpdate.AddressedEndpoint member) {
    if (old.isGone()) {
      goneCount--;
    }
    old.actor().setAddress(Sockets.address(member.dialAddress()));
    if (old.bootTimeNanos() != member.endpoint().bootTimeNanos()) {
      // Connections from before the restart are dead even if no FIN was received; a request written
      // to such a connection would be lost.
      old.actor().closeIdle();
    }
    return old.actor();
  }

  private void updateAcceptance(long serverId) {
    PooledServer server = servers.get(serverId);
    server
        .actor()
        .acceptsRequests(
            server.health() == EndpointHealth.READY
                && !excluded.contains(serverId)
                && !isSuperseded(server));
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
      // The server may be restarted while it is excluded, which leaves its connections dead.
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
   * Marks a server as gone. Its actor is kept while attempts are in flight, which may still
   * complete or be aborted.
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
        new PooledServer(
            server.actor(),
            server.host(),
            server.dialAddress(),
            server.zone(),
            EndpointHealth.GONE,
            0));
    latestByAddress.remove(server.dialAddress(), serverId);
    goneCount++;
  }

  /**
   * Retires the actors of gone servers without attempts or connections. Also called on each send,
   * as endpoint updates may be rare.
   */
  private void retireInactive() {
    if (goneCount > 0) {
      int before = servers.size();
      servers.values().removeIf(CacheServerPool::retireIfInactive);
      goneCount -= before - servers.size();
    }
  }

  private static boolean retireIfInactive(PooledServer server) {
    boolean retire = server.isGone() && server.actor().isInactive();
    if (retire) {
      server.actor().retire();
    }
    return retire;
  }
}
