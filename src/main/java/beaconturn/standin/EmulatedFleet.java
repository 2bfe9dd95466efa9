package beaconturn.standin;

import java.util.ArrayList;
import java.util.List;
import java.util.function.IntConsumer;

/**
 * All that stands round the routers: cache servers at their places, the origin and discovery, and
 * the faults that happen to them. A place is an address; the process there may die and another
 * come.
 */
public final class EmulatedFleet {
  private final EventScheduler scheduler;
  private final Shape shape;
  private final HistoryRecorder recorder;
  private final RandomSources randomSources;
  private final OriginModel origin;
  private final DiscoveryModel discovery;
  private final CacheServerModel.Site sharedParts;
  private final List<CacheServerModel> servers = new ArrayList<>();
  private IntConsumer changeListener = place -> {};
  private int starts;
  private long commands;

  /**
   * What the surroundings are made of.
   *
   * @param fleet one for each place, in their order
   * @param origin the origin
   * @param works the classes and what they cost
   * @param lag how long after a change discovery knows it, in nanoseconds
   * @param grace how long after the news a draining server still takes work, in nanoseconds
   */
  public record Shape(
      List<Member> fleet, OriginModel.Shape origin, List<WorkCost> works, long lag, long grace) {}

  /** One place of the fleet and the process that stands there at first. */
  public record Member(
      String host, String site, String kind, int block, double share, CacheServerSpec shape) {}

  /** Surroundings in which all is well and everybody is warm. */
  public EmulatedFleet(
      EventScheduler scheduler,
      Shape shape,
      RandomSources randomSources,
      HistoryRecorder recorder) {
    this.scheduler = scheduler;
    this.shape = shape;
    this.recorder = recorder;
    this.randomSources = randomSources;
    this.origin = new OriginModel(scheduler, shape.origin(), randomSources.of("origin"), recorder);
    this.discovery = new DiscoveryModel(scheduler, recorder);
    this.sharedParts =
        new CacheServerModel.Site(
            scheduler, origin, new DeduplicationLog(), shape.works(), recorder, this::invalidate);
    for (int place = 0; place < shape.fleet().size(); place++) {
      servers.add(start(place, shape.fleet().get(place).host(), 0));
      discovery.change(servers.get(place).listing(), 0);
    }
  }

  /** Who wants to know of every change of a place's process or condition. */
  public void onChange(IntConsumer placeChanged) {
    changeListener = placeChanged;
  }

  private CacheServerModel start(int place, String host, long born) {
    Member member = shape.fleet().get(place);
    EndpointListing listing =
        new EndpointListing(
            host,
            place,
            member.site(),
            member.kind(),
            member.block(),
            EndpointListing.Health.READY,
            member.share(),
            born);
    return new CacheServerModel(
        sharedParts, listing, member.shape(), randomSources.of(host + " " + ++starts));
  }

  private void invalidate(String key) {
    servers.forEach(cache -> cache.invalidate(key));
  }

  /**
   * Begins a fault at a place; {@code amount} is a factor, a part, or nanoseconds, as the kind has
   * it.
   */
  public void begin(Fault.Kind kind, int place, double amount) {
    CacheServerModel cache = servers.get(place);
    switch (kind) {
      case KILL, REPLACE -> {
        kill(cache);
      }
      case DRAIN -> {
        discovery.change(cache.listing().with(EndpointListing.Health.DRAINING), shape.lag());
        scheduler.in(
            shape.lag() + shape.grace(),
            () -> {
              if (listedDraining(cache)) {
                cache.set(kind, 1);
              }
            });
      }
      case DRAIN_LATE -> {
        cache.set(kind, 1);
        discovery.change(cache.listing().with(EndpointListing.Health.DRAINING), (long) amount);
      }
      case UNLIST -> discovery.change(cache.listing().with(EndpointListing.Health.GONE), 0);
      default -> cache.set(kind, amount == 0 ? 1 : amount);
    }
    changeListener.accept(place);
  }

  /** Ends a fault at a place. */
  public void end(Fault.Kind kind, int place) {
    CacheServerModel cache = servers.get(place);
    switch (kind) {
      case KILL -> restart(place, cache.listing().host());
      case REPLACE -> restart(place, nextName(cache.listing().host()));
      case DRAIN, DRAIN_LATE -> {
        cache.set(kind, 0);
        discovery.change(cache.listing(), 0);
      }
      case UNLIST -> discovery.change(cache.listing(), 0);
      default -> cache.set(kind, 0);
    }
    changeListener.accept(place);
  }

  private boolean listedDraining(CacheServerModel cache) {
    EndpointListing listed = discovery.listed(cache.listing().host());
    return listed != null && listed.health() == EndpointListing.Health.DRAINING;
  }

  private void kill(CacheServerModel cache) {
    if (!cache.dead()) {
      cache.die();
      recorder.down(scheduler.now(), cache.listing().host());
    }
    discovery.change(cache.listing().with(EndpointListing.Health.GONE), shape.lag());
  }

  private void restart(int place, String host) {
    CacheServerModel fresh = start(place, host, scheduler.now());
    servers.set(place, fresh);
    discovery.change(fresh.listing(), shape.lag());
  }

  private static String nextName(String host) {
    int dash = host.lastIndexOf('-');
    boolean successor = dash > 0 && host.substring(dash + 1).matches("[0-9]+");
    int number = successor ? Integer.parseInt(host.substring(dash + 1)) : 1;
    return (successor ? host.substring(0, dash) : host) + "-" + (number + 1);
  }

  /** Begins a fault of the origin or of discovery. */
  public void begin(Fault.Kind kind, double amount) {
    switch (kind) {
      case ORIGIN_SLOW -> origin.slow(amount);
      case ORIGIN_STOP -> origin.stop(true);
      case DISCOVERY_OUT -> discovery.unavailable(true);
      case DISCOVERY_SLOW -> discovery.slow((long) amount);
      case DISCOVERY_BACK -> discovery.lagNanos((long) amount);
      default -> throw new IllegalArgumentException(kind + " needs a cache server or a router");
    }
  }

  /** Ends a fault of the origin or of discovery. */
  public void end(Fault.Kind kind) {
    switch (kind) {
      case ORIGIN_SLOW -> origin.slow(1);
      case ORIGIN_STOP -> origin.stop(false);
      case DISCOVERY_OUT -> discovery.unavailable(false);
      case DISCOVERY_SLOW -> discovery.slow(0);
      case DISCOVERY_BACK -> discovery.lagNanos(0);
      default -> throw new IllegalArgumentException(kind + " needs a cache server or a router");
    }
  }

  /** Ends all that is wrong with anybody; dead processes start again. */
  public void recoverAll() {
    for (int place = 0; place < servers.size(); place++) {
      recover(place);
    }
    for (Fault.Kind kind : Fault.Kind.values()) {
      if (kind.target() == Fault.Target.ORIGIN || kind.target() == Fault.Target.DISCOVERY) {
        end(kind);
      }
    }
  }

  /** Ends all that is wrong at a place; a dead process starts again, cold. */
  public void recover(int place) {
    CacheServerModel cache = servers.get(place);
    if (cache.dead()) {
      restart(place, cache.listing().host());
    } else {
      boolean listed = discovery.listed(cache.listing().host()) != null && !listedDraining(cache);
      cache.recover();
      if (!listed) {
        discovery.change(cache.listing(), 0);
      }
    }
    changeListener.accept(place);
  }

  /** The process at the place, perhaps dead. */
  public CacheServerModel at(int place) {
    return servers.get(place);
  }

  /** How many places there are. */
  public int places() {
    return servers.size();
  }

  /** Where the process of that name stands; -1 if nowhere. */
  public int placeOf(String host) {
    for (int place = 0; place < servers.size(); place++) {
      if (servers.get(place).listing().host().equals(host)) {
        return place;
      }
    }
    return -1;
  }

  /** The number of the next command that a front reads. */
  public long nextCommand() {
    return ++commands;
  }

  /** The origin. */
  public OriginModel origin() {
    return origin;
  }

  /** Discovery. */
  public DiscoveryModel discovery() {
    return discovery;
  }

  /** The clock of it all. */
  public EventScheduler scheduler() {
    return scheduler;
  }

  /** Who is told of everything. */
  public HistoryRecorder recorder() {
    return recorder;
  }
}
