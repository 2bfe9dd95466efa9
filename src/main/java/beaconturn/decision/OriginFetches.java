package beaconturn.decision;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Coalesces and limits fetches from the origin: one at a time per key, while other requests for the
 * key wait. At the origin's {@link ConcurrencyLimit} requests are queued and dequeued by priority.
 */
final class OriginFetches {
  private final RoutingSettings settings;
  private final RoutingActions actions;
  private final RouterRules rules;
  private final RequestDispatcher dispatcher;
  private final boolean cacheAside;
  private final ConcurrencyLimit limit;
  private final Map<Long, OriginFetch> fetchesByKey = new LinkedHashMap<>();

  /** Requests that wait for the origin's limit, in order of arrival. */
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
   * Whether a read-through cache is expected to fetch from the origin because it is not known to
   * hold the key.
   */
  boolean cacheWillFetch(RequestState request, ServerState cache) {
    if (cacheAside) {
      return false;
    }
    return request.isWrite()
        || (settings.origin().reportsCacheHits()
            && !rules.cachedKeys.isCached(request.key(), cache.id(), rules.clock.nowNanos()));
  }

  /**
   * Adds the request to the fetch of its key if one is in progress in cache-aside mode; returns
   * false if there is none.
   */
  boolean joinFetch(RequestState request) {
    OriginFetch fetch = cacheAside && request.key() != 0 ? fetchesByKey.get(request.key()) : null;
    if (fetch != null) {
      waitFor(request, fetch);
    }
    return fetch != null;
  }

  /**
   * Fetches the key through the given cache, or from the origin itself if {@code cache} is null. If
   * a fetch of the key is already in progress, the request waits for it.
   */
  void fetch(RequestState request, ServerState cache) {
    if (request.key() != 0 && !request.isWrite() && request.originFetch() == null) {
      OriginFetch ongoing = fetchesByKey.get(request.key());
      if (ongoing != null) {
        waitFor(request, ongoing);
        return;
      }
      request.setOriginFetch(new OriginFetch());
      fetchesByKey.put(request.key(), request.originFetch());
    }
    sendToOrigin(request, cache);
  }

  /** Sends the request to the origin itself; at the origin's limit it is queued or given up. */
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

  /** Returns the expected queueing time of a request that is queued now. */
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

  /**
   * Holds a request for at most half of its remaining time, so that its client can still use a
   * rejection.
   */
  private void hold(RequestState request) {
    request.setQueued(true);
    actions.setTimer(halfOfRemainingNanos(request), TimerToken.queueTimeout(request.id()).encode());
  }

  /** Sends queued requests as far as the origin's limit allows. */
  void sendQueued() {
    while (!queue.isEmpty() && limit.hasCapacity()) {
      RequestState next = highestPriority();
      queue.remove(next);
      fetchAgain(next);
    }
  }

  /** Returns the queued request of highest priority; the earliest among equals. */
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
   * Removes a finished request from the queue and from any fetch it waits for, and ends the fetch
   * that it leads.
   */
  void requestEnded(RequestState request, boolean succeeded) {
    queue.remove(request);
    fetchEnded(request, succeeded);
  }

  /**
   * Ends the fetch that the request leads. Waiting requests are sent to the cache that now holds
   * the key; if the fetch failed, each fetches again and the first becomes the new leader.
   */
  void fetchEnded(RequestState leader, boolean succeeded) {
    OriginFetch fetch = leader.originFetch();
    leader.setOriginFetch(null);
    if (fetch == null || fetch.waiting().remove(leader)) {
      return;
    }
    fetchesByKey.remove(leader.key());
    fetch.waiting().forEach(request -> request.setOriginFetch(null));
    for (RequestState request : fetch.waiting()) {
      if (!succeeded) {
        fetchAgain(request);
      } else if (maySendTo(leader.keyHolder(), request)) {
        dispatcher.send(request, leader.keyHolder(), false);
      } else {
        dispatcher.sendToCache(request);
      }
    }
  }

  /** Whether a request may be sent to the cache that fetched its key. */
  private boolean maySendTo(ServerState cache, RequestState request) {
    return cache != null
        && rules.guard.allows(request, cache)
        && rules.slowStart.hasBudget(cache)
        && cache.load().inFlight() < rules.bounds.cap(rules.ring.size());
  }
}
