package beaconturn.decision;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Fetches from the origin: one at a time for each key, while other requests for the key wait; at
 * the origin's {@link ConcurrencyLimit} requests queue, and those of the highest priority go first.
 */
final class OriginFetches {
  private final RoutingSettings settings;
  private final RoutingActions actions;
  private final RouterRules rules;
  private final RequestDispatcher dispatcher;
  private final boolean cacheAside;
  private final ConcurrencyLimit limit;
  private final Map<Long, OriginFetch> fetchesByKey = new LinkedHashMap<>();

  /** Requests that wait for the origin's limit, in the order of their arrival here. */
  private final List<RequestState> queue = new ArrayList<>();

  OriginFetches(
      RoutingSettings settings,
      RoutingActions actions,
      RouterRules rules,
      RequestDispatcher dispatcher) {
    this.settings = settings;
    this.actions = actions;
    this.rules = rules;
    this.dispatcher = dispatcher;
    this.cacheAside = settings.origin().cacheAside();
    this.limit = rules.admission.originLimit();
  }

  /**
   * Whether a cache that fetches for itself will ask the origin: it is not known to hold the key.
   */
  boolean cacheWillFetch(RequestState request, ServerState cache) {
    if (cacheAside) {
      return false;
    }
    return request.isWrite()
        || (settings.origin().reportsCacheHits()
            && !rules.cachedKeys.isCached(request.key(), cache.id(), rules.clock.nowNanos()));
  }

  /** Makes the request wait if its key is being fetched already beside the caches; false if not. */
  boolean joinFetch(RequestState request) {
    OriginFetch fetch = cacheAside && request.key() != 0 ? fetchesByKey.get(request.key()) : null;
    if (fetch != null) {
      waitFor(request, fetch);
    }
    return fetch != null;
  }

  /**
   * The first request for a key fetches it, through the given cache or (null) at the origin itself;
   * later ones wait for that fetch.
   */
  void fetch(RequestState request, ServerState cache) {
    if (request.key() != 0 && !request.isWrite() && request.originFetch() == null) {
      OriginFetch running = fetchesByKey.get(request.key());
      if (running != null) {
        waitFor(request, running);
        return;
      }
      request.setOriginFetch(new OriginFetch());
      fetchesByKey.put(request.key(), request.originFetch());
    }
    sendToOrigin(request, cache);
  }

  /** Sends the request to the origin itself; at the origin's limit it queues or is given up. */
  void sendToOrigin(RequestState request) {
    sendToOrigin(request, null);
  }

  private void sendToOrigin(RequestState request, ServerState cache) {
    ServerState server = cache == null ? rules.registry.leastLoadedOrigin() : cache;
    if (server == null) {
      dispatcher.giveUp(request, GiveUpReason.NO_SERVER);
    } else if (rules.admission.exceedsSpareCapacity(request, limit)) {
      dispatcher.giveUp(request, GiveUpReason.OVERLOADED);
    } else if (limit.hasCapacity()) {
      dispatcher.send(request, server, true);
    } else if (expectedQueueNanos() < halfOfRemainingNanos(request)) {
      queue.add(request);
      hold(request);
    } else {
      dispatcher.giveUp(request, GiveUpReason.OVERLOADED);
    }
  }

  /** How long a request that queues now waits as a rule. */
  private double expectedQueueNanos() {
    return rules.times.fetchNanos().mean() * (queue.size() + 1) / limit.limit();
  }

  private long halfOfRemainingNanos(RequestState request) {
    return (request.deadlineNanos() - rules.clock.nowNanos()) / 2;
  }

  private void waitFor(RequestState request, OriginFetch fetch) {
    request.setOriginFetch(fetch);
    fetch.waiting().add(request);
    hold(request);
  }

  /** Holds a request for at most half the time it has left, so that a rejection is still of use. */
  private void hold(RequestState request) {
    request.setQueued(true);
    actions.setTimer(halfOfRemainingNanos(request), TimerToken.queueTimeout(request.id()).encode());
  }

  /** Sends queued requests on as far as the origin's limit allows. */
  void sendQueued() {
    while (!queue.isEmpty() && limit.hasCapacity()) {
      RequestState next = highestPriority();
      queue.remove(next);
      fetchAgain(next);
    }
  }

  /** The queued request of the highest priority, the first of equals. */
  private RequestState highestPriority() {
    RequestState highest = queue.get(0);
    for (RequestState request : queue) {
      double priority = rules.admission.priority(request);
      if (Double.compare(priority, rules.admission.priority(highest)) > 0) {
        highest = request;
      }
    }
    return highest;
  }

  private void fetchAgain(RequestState request) {
    if (cacheAside) {
      fetch(request, null);
    } else {
      dispatcher.sendToCache(request);
    }
  }

  /**
   * A request is over: it is taken out of the queue, waits for no other fetch any more, and a fetch
   * that it leads is over with it.
   */
  void requestEnded(RequestState request, boolean answered) {
    queue.remove(request);
    fetchEnded(request, answered);
  }

  /**
   * A fetch is over. Its leader's waiting requests go to the cache that has the object now; if it
   * was not answered, each of them fetches again, and the first becomes the leader.
   */
  void fetchEnded(RequestState leader, boolean answered) {
    OriginFetch fetch = leader.originFetch();
    leader.setOriginFetch(null);
    if (fetch == null || fetch.waiting().remove(leader)) {
      return;
    }
    fetchesByKey.remove(leader.key());
    fetch.waiting().forEach(request -> request.setOriginFetch(null));
    for (RequestState request : fetch.waiting()) {
      if (!answered) {
        fetchAgain(request);
      } else if (maySendTo(leader.keyHolder(), request)) {
        dispatcher.send(request, leader.keyHolder(), false);
      } else {
        dispatcher.sendToCache(request);
      }
    }
  }

  /** Whether a request may go to the cache that has fetched its key. */
  private boolean maySendTo(ServerState cache, RequestState request) {
    return cache != null
        && rules.guard.allows(request, cache)
        && rules.slowStart.hasBudget(cache)
        && cache.load().inFlight() < rules.bounds.cap(rules.ring.size());
  }
}
