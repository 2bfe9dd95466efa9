package beaconturn.standin;

import java.util.ArrayList;
import java.util.List;
import java.util.function.IntConsumer;

/**
 * The systems around the routers: cache servers, the origin and discovery, and the faults that are
 * injected into them. Single-threaded.
 *
 * <p>A cache server is addressed by its index, which stands for its listening addresses; the
 * process behind an index may die and be replaced by another one.
 */
public final class EmulatedFleet {
  private final EventScheduler scheduler;
  private final Spec spec;
  private final HistoryRecorder recorder;
  private final RandomSources randomSources;
  private final OriginModel origin;
  private final DiscoveryModel discovery;
  private final CacheServerModel.SharedParts sharedParts;
  private final List<CacheServerModel> servers = new ArrayList<>();
  private IntConsumer serverChangeListener = index -> {};
  private int startCount;
  private long lastCommand;

  /**
   * Composition of a fleet.
   *
   * @param members the cache servers, in the order of their indexes
   * @param origin capacity of the origin
   * @param workCosts costs of the request classes
   * @param discoveryLagNanos time from a change until discovery publishes it
   * @param drainGraceNanos how long after its publication a draining server still accepts commands
   */
  public record Spec(
      List<Member> members,
      OriginModel.Spec origin,
      List<WorkCost> workCosts,
      long discoveryLagNanos,
      long drainGraceNanos) {}

  /**
   * One cache server of the fleet.
   *
   * @param host the name of its first process
   * @param site the data centre
   * @param kind the machine model
   * @param block the group of cache servers that it belongs to
   * @param share its rated share of the load
   * @param spec its capacity and behaviour
   */
  public record Member(
      String host, String site, String kind, int block, double share, CacheServerSpec spec) {}

  /** Creates a fleet without faults whose cache servers are warm. */
  public EmulatedFleet(
      EventScheduler scheduler, Spec spec, RandomSources randomSources, HistoryRecorder recorder) {
    this.scheduler = scheduler;
    this.spec = spec;
    this.recorder = recorder;
    this.randomSources = randomSources;
    this.origin = new OriginModel(scheduler, spec.origin(), randomSources.of("origin"), recorder);
    this.discovery = new DiscoveryModel(scheduler, recorder);
    this.sharedParts =
        new CacheServerModel.SharedParts(
            scheduler,
            origin,
            new DeduplicationLog(),
            spec.workCosts(),
            recorder,
            this::invalidate);
    for (int index = 0; index < spec.members().size(); index++) {
      servers.add(start(index, spec.members().get(index).host(), 0));
      discovery.change(servers.get(index).listing(), 0);
    }
  }

  /** Sets the listener that receives the index of a cache server whose process or faults change. */
  public void onServerChange(IntConsumer listener) {
    serverChangeListener = listener;
  }

  private CacheServerModel start(int index, String host, long startedAtNanos) {
    Member member = spec.members().get(index);
    EndpointListing listing =
        new EndpointListing(
            host,
            index,
            member.site(),
            member.kind(),
            member.block(),
            EndpointListing.Health.READY,
            member.share(),
            startedAtNanos);
    return new CacheServerModel(
        sharedParts, listing, member.spec(), randomSources.of(host + " " + ++startCount));
  }

  private void invalidate(String key) {
    servers.forEach(server -> server.invalidate(key));
  }

  /**
   * Starts a fault of a cache server.
   *
   * @param amount a factor, a share or nanoseconds, depending on the kind
   */
  public void startFault(Fault.Kind kind, int index, double amount) {
    CacheServerModel server = servers.get(index);
    switch (kind) {
      case KILL, REPLACE -> {
        kill(server);
      }
      case DRAIN -> {
        discovery.change(
            server.listing().withHealth(EndpointListing.Health.DRAINING), spec.discoveryLagNanos());
        scheduler.in(
            spec.discoveryLagNanos() + spec.drainGraceNanos(),
            () -> {
              if (listedDraining(server)) {
                server.setFault(kind, 1);
              }
            });
      }
      case DRAIN_LATE -> {
        server.setFault(kind, 1);
        discovery.change(
            server.listing().withHealth(EndpointListing.Health.DRAINING), (long) amount);
      }
      case UNLIST -> discovery.change(server.listing().withHealth(EndpointListing.Health.GONE), 0);
      default -> server.setFault(kind, amount == 0 ? 1 : amount);
    }
    serverChangeListener.accept(index);
  }

  /** Stops a fault of a cache server. */
  public void endFault(Fault.Kind kind, int index) {
    CacheServerModel server = servers.get(index);
    switch (kind) {
      case KILL -> restart(index, server.listing().host());
      case REPLACE -> restart(index, successorName(server.listing().host()));
      case DRAIN, DRAIN_LATE -> {
        server.setFault(kind, 0);
        discovery.change(server.listing(), 0);
      }
      case UNLIST -> discovery.change(server.listing(), 0);
      default -> server.setFault(kind, 0);
    }
    serverChangeListener.accept(index);
  }

  private boolean listedDraining(CacheServerModel server) {
    EndpointListing listed = discovery.listing(server.listing().host());
    return listed != null && listed.health() == EndpointListing.Health.DRAINING;
  }

  private void kill(CacheServerModel server) {
    if (!server.dead()) {
      server.die();
      recorder.serverStopped(scheduler.now(), server.listing().host());
    }
    discovery.change(
        server.listing().withHealth(EndpointListing.Health.GONE), spec.discoveryLagNanos());
  }

  private void restart(int index, String host) {
    CacheServerModel restarted = start(index, host, scheduler.now());
    servers.set(index, restarted);
    discovery.change(restarted.listing(), spec.discoveryLagNanos());
  }

  private static String successorName(String host) {
    int dash = host.lastIndexOf('-');
    boolean successor = dash > 0 && host.substring(dash + 1).matches("[0-9]+");
    int number = successor ? Integer.parseInt(host.substring(dash + 1)) : 1;
    return (successor ? host.substring(0, dash) : host) + "-" + (number + 1);
  }

  /** Starts a fault of the origin or of discovery. */
  public void startFault(Fault.Kind kind, double amount) {
    switch (kind) {
      case ORIGIN_SLOW -> origin.setSlowdown(amount);
      case ORIGIN_STOP -> origin.setStopped(true);
      case DISCOVERY_OUT -> discovery.setUnavailable(true);
      case DISCOVERY_SLOW -> discovery.setDelayNanos((long) amount);
      case DISCOVERY_BACK -> discovery.setLagNanos((long) amount);
      default -> throw new IllegalArgumentException(kind + " needs a cache server or a router");
    }
  }

  /** Stops a fault of the origin or of discovery. */
  public void endFault(Fault.Kind kind) {
    switch (kind) {
      case ORIGIN_SLOW -> origin.setSlowdown(1);
      case ORIGIN_STOP -> origin.setStopped(false);
      case DISCOVERY_OUT -> discovery.setUnavailable(false);
      case DISCOVERY_SLOW -> discovery.setDelayNanos(0);
      case DISCOVERY_BACK -> discovery.setLagNanos(0);
      default -> throw new IllegalArgumentException(kind + " needs a cache server or a router");
    }
  }

  /** Stops all faults of the fleet and restarts dead cache servers. */
  public void recoverAll() {
    for (int index = 0; index < servers.size(); index++) {
      recover(index);
    }
    for (Fault.Kind kind : Fault.Kind.values()) {
      if (kind.target() == Fault.Target.ORIGIN || kind.target() == Fault.Target.DISCOVERY) {
        endFault(kind);
      }
    }
  }

  /** Stops all faults of a cache server; a dead one is restarted, cold. */
  public void recover(int index) {
    CacheServerModel server = servers.get(index);
    if (server.dead()) {
      restart(index, server.listing().host());
    } else {
      boolean listed =
          discovery.listing(server.listing().host()) != null && !listedDraining(server);
      server.clearFaults();
      if (!listed) {
        discovery.change(server.listing(), 0);
      }
    }
    serverChangeListener.accept(index);
  }

  /** Returns the current process of a cache server, which may be dead. */
  public CacheServerModel server(int index) {
    return servers.get(index);
  }

  /** Returns the number of cache servers. */
  public int serverCount() {
    return servers.size();
  }

  /** Returns the index of the process with that name, or -1 if there is none. */
  public int indexOf(String host) {
    for (int index = 0; index < servers.size(); index++) {
      if (servers.get(index).listing().host().equals(host)) {
        return index;
      }
    }
    return -1;
  }

  /** Returns a new command number, counted from 1. */
  public long nextCommand() {
    return ++lastCommand;
  }

  /** Returns the origin. */
  public OriginModel origin() {
    return origin;
  }

  /** Returns the discovery service. */
  public DiscoveryModel discovery() {
    return discovery;
  }

  /** Returns the clock and scheduler of all models of the fleet. */
  public EventScheduler scheduler() {
    return scheduler;
  }

  /** Returns the recorder that receives all events. */
  public HistoryRecorder recorder() {
    return recorder;
  }
}
