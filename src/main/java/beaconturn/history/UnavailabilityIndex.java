package beaconturn.history;

import java.util.ArrayList;
import java.util.List;

/**
 * Collects the outages of the instances that may be released: from stopped and paused processes,
 * warm-ups, the endpoint list and operators' permits.
 */
public final class UnavailabilityIndex {
  private final HistoryIndex history;
  private final List<Outage> outages = new ArrayList<>();

  private UnavailabilityIndex(HistoryIndex history) {
    this.history = history;
  }

  /**
   * An outage of one instance.
   *
   * @param toNanos end of the outage, or {@code Long.MAX_VALUE} if it lasts to the end of the
   *     history
   * @param planned whether a step or an operator caused the outage; an unplanned outage counts only
   *     once it can have been detected
   */
  public record Outage(String instanceId, long fromNanos, long toNanos, boolean planned) {}

  /** Returns the outages of a history; none if no instance may be released. */
  public static List<Outage> of(InvariantBounds bounds, List<HistoryEvent> events) {
    return of(new HistoryIndex(bounds, events));
  }

  static List<Outage> of(HistoryIndex history) {
    RolloutBounds bounds = history.bounds().rollout();
    if (bounds == null) {
      return List.of();
    }
    UnavailabilityIndex index = new UnavailabilityIndex(history);
    List<String> instanceIds = List.copyOf(bounds.zones().keySet());
    if (bounds.ofCacheServers()) {
      instanceIds.forEach(index::addCacheServer);
    } else {
      index.addRouters(instanceIds);
    }
    return index.outages;
  }

  private void addRouters(List<String> names) {
    for (HistoryEvent.RouterStopped stop : history.events(HistoryEvent.RouterStopped.class)) {
      long readyNanos = readyAfter(stop.router(), stop.atNanos());
      add(names.get(stop.router()), stop.atNanos(), readyNanos, stop.planned());
    }
    for (HistoryEvent.RouterCrashed crash : history.events(HistoryEvent.RouterCrashed.class)) {
      long readyNanos = readyAfter(crash.router(), crash.atNanos());
      add(names.get(crash.router()), crash.atNanos(), readyNanos, false);
    }
  }

  private long readyAfter(int router, long fromNanos) {
    return history.events(HistoryEvent.RouterReady.class).stream()
        .filter(ready -> ready.router() == router && ready.atNanos() > fromNanos)
        .mapToLong(HistoryEvent.RouterReady::atNanos)
        .min()
        .orElse(Long.MAX_VALUE);
  }

  private void addCacheServer(String server) {
    for (HistoryEvent.VariantChangeStarted change :
        history.events(HistoryEvent.VariantChangeStarted.class)) {
      if (change.instanceId().equals(server)) {
        add(server, change.atNanos(), warmAfter(server, change.atNanos()), true);
      }
    }
    for (HistoryEvent.CacheServerStopped stop :
        history.events(HistoryEvent.CacheServerStopped.class)) {
      if (stop.server().equals(server)) {
        add(server, stop.atNanos(), warmAfter(server, stop.atNanos()), false);
      }
    }
    addDelistings(server);
    addDrains(server);
  }

  private void addDelistings(String server) {
    for (HistoryEvent.ListingChanged change : history.events(HistoryEvent.ListingChanged.class)) {
      boolean unavailable = change.state() != HistoryEvent.ListingState.READY;
      if (unavailable && change.server().equals(server)) {
        add(server, change.atNanos(), listedReadyAfter(server, change.atNanos()), false);
      }
    }
  }

  private long listedReadyAfter(String server, long fromNanos) {
    return history.events(HistoryEvent.ListingChanged.class).stream()
        .filter(change -> change.server().equals(server) && change.atNanos() > fromNanos)
        .filter(change -> change.state() == HistoryEvent.ListingState.READY)
        .mapToLong(HistoryEvent.ListingChanged::atNanos)
        .min()
        .orElse(Long.MAX_VALUE);
  }

  private void addDrains(String server) {
    for (HistoryEvent.DrainPermitChanged permit :
        history.events(HistoryEvent.DrainPermitChanged.class)) {
      if (permit.taken() && permit.server().equals(server)) {
        add(server, permit.atNanos(), permitReturnedAfter(server, permit.atNanos()), true);
      }
    }
  }

  private long permitReturnedAfter(String server, long fromNanos) {
    return history.events(HistoryEvent.DrainPermitChanged.class).stream()
        .filter(permit -> permit.server().equals(server) && permit.atNanos() > fromNanos)
        .filter(permit -> !permit.taken())
        .mapToLong(HistoryEvent.DrainPermitChanged::atNanos)
        .min()
        .orElse(Long.MAX_VALUE);
  }

  /** Returns when the next process of a cache server was warm. */
  private long warmAfter(String server, long fromNanos) {
    return history.events(HistoryEvent.CacheServerStarted.class).stream()
        .filter(start -> start.server().equals(server) && start.atNanos() > fromNanos)
        .mapToLong(start -> start.atNanos() + history.bounds().warmUpNanos())
        .min()
        .orElse(Long.MAX_VALUE);
  }

  private void add(String instanceId, long fromNanos, long toNanos, boolean planned) {
    outages.add(new Outage(instanceId, fromNanos, toNanos, planned));
  }
}
