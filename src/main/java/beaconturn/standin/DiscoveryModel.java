package beaconturn.standin;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Models the discovery service: an endpoint list in which each change of a cache server appears
 * after a lag, as a new version. Returns the complete list at once, and to a watch the changes
 * since a version as soon as there are any. Single-threaded.
 */
public final class DiscoveryModel {
  /** The number of the latest change of each cache server that was published. */
  private final Map<String, Long> latestChangeByHost = new HashMap<>();

  private long changeCount;
  private final EventScheduler scheduler;
  private final HistoryRecorder recorder;
  private final Map<String, EndpointListing> listings = new LinkedHashMap<>();
  private final TreeMap<Long, Version> versions = new TreeMap<>();
  private final Set<Call> watches = new LinkedHashSet<>();
  private final Map<Integer, Set<String>> notifiedByRouter = new LinkedHashMap<>();
  private boolean unavailable;
  private long delayNanos;
  private long stalenessNanos;

  /**
   * A version of the list.
   *
   * @param createdNanos when it was published
   * @param changed the entry that changed; null in the first version
   * @param all all entries by host
   */
  private record Version(
      long createdNanos, EndpointListing changed, Map<String, EndpointListing> all) {}

  /**
   * A reply of discovery.
   *
   * @param version the version of the list
   * @param complete whether it has all entries, or only the changed ones
   */
  public record EndpointUpdate(long version, boolean complete, List<EndpointListing> entries) {}

  /** Receives the reply to a call; exactly one of the methods is called, once. */
  public interface ResponseHandler {
    /** Receives the reply, to be sent now. */
    void succeeded(EndpointUpdate update);

    /** Discovery is unavailable. */
    void failed();
  }

  /** A call without a reply: a watch, or a call whose reply is delayed. */
  public final class Call {
    private final int router;
    private final long after;
    private final ResponseHandler handler;
    private EventScheduler.Task pendingTask;
    private boolean completed;

    private Call(int router, long after, ResponseHandler handler) {
      this.router = router;
      this.after = after;
      this.handler = handler;
    }

    /** Cancels the call because its connection has ended; the handler is not called any more. */
    public void cancel() {
      completed = true;
      pendingTask.cancel();
      watches.remove(this);
    }

    private void scheduleReply(boolean withCompleteList) {
      watches.remove(this);
      pendingTask.cancel();
      pendingTask = scheduler.in(delayNanos, () -> reply(withCompleteList));
    }

    private void reply(boolean withCompleteList) {
      if (completed) {
        return;
      }
      completed = true;
      if (unavailable) {
        handler.failed();
        return;
      }
      EndpointUpdate update = withCompleteList ? completeList() : changesSince(after);
      recordNotifications(router, update);
      handler.succeeded(update);
    }

    private void fail() {
      pendingTask.cancel();
      watches.remove(this);
      if (!completed) {
        completed = true;
        handler.failed();
      }
    }
  }

  /** Creates an available discovery service with an empty list, which has version 1. */
  public DiscoveryModel(EventScheduler scheduler, HistoryRecorder recorder) {
    this.scheduler = scheduler;
    this.recorder = recorder;
    versions.put(1L, new Version(scheduler.now(), null, Map.of()));
    recorder.discoveryAvailability(scheduler.now(), true);
  }

  /**
   * Publishes a change of a cache server after a lag, unless a later change of it has been
   * published by then: a drain that is cancelled within the lag is never listed.
   */
  void change(EndpointListing entry, long publishLagNanos) {
    long number = ++changeCount;
    if (publishLagNanos <= 0) {
      publish(entry, number);
    } else {
      scheduler.in(publishLagNanos, () -> publish(entry, number));
    }
  }

  private void publish(EndpointListing entry, long number) {
    if (number < latestChangeByHost.getOrDefault(entry.host(), 0L)) {
      return;
    }
    latestChangeByHost.put(entry.host(), number);
    recorder.listingChanged(scheduler.now(), entry.host(), entry.health());
    if (entry.health() == EndpointListing.Health.GONE) {
      listings.remove(entry.host());
    } else {
      listings.put(entry.host(), entry);
    }
    versions.put(
        versions.lastKey() + 1, new Version(scheduler.now(), entry, new LinkedHashMap<>(listings)));
    List.copyOf(watches).forEach(this::replyIfNewer);
  }

  private void replyIfNewer(Call watch) {
    if (watch.after < visibleVersion()) {
      watch.scheduleReply(false);
    }
  }

  /** Returns the version that calls see: the last one, or an older one while the list is stale. */
  private long visibleVersion() {
    long visibleVersion = versions.lastKey();
    while (stalenessNanos > 0
        && visibleVersion > 1
        && versions.get(visibleVersion).createdNanos() > scheduler.now() - stalenessNanos) {
      visibleVersion--;
    }
    return visibleVersion;
  }

  /** Requests the complete list for a router. */
  public Call fetch(int router, ResponseHandler handler) {
    Call call = startCall(router, 0, handler);
    if (!call.completed) {
      call.scheduleReply(true);
    }
    return call;
  }

  /**
   * Requests the changes since a version for a router. If there are none, the reply is held back
   * until there is one, or until the time to wait is over.
   */
  public Call watch(int router, long after, long waitNanos, ResponseHandler handler) {
    Call call = startCall(router, after, handler);
    if (call.completed) {
      return call;
    }
    // For a version that is unknown or ahead, the changes since then cannot be determined.
    if (after > visibleVersion() || !versions.containsKey(after)) {
      call.scheduleReply(true);
    } else if (after < visibleVersion()) {
      call.scheduleReply(false);
    } else {
      watches.add(call);
      call.pendingTask = scheduler.in(waitNanos, () -> call.scheduleReply(false));
    }
    return call;
  }

  private Call startCall(int router, long after, ResponseHandler handler) {
    recorder.discoveryCalled(scheduler.now(), router);
    Call call = new Call(router, after, handler);
    call.pendingTask = scheduler.in(0, () -> {});
    if (unavailable) {
      call.fail();
    }
    return call;
  }

  private EndpointUpdate completeList() {
    long visibleVersion = visibleVersion();
    return new EndpointUpdate(
        visibleVersion, true, List.copyOf(versions.get(visibleVersion).all().values()));
  }

  /** Returns the last change of each cache server since a version. */
  private EndpointUpdate changesSince(long after) {
    long visibleVersion = visibleVersion();
    if (after > visibleVersion || !versions.containsKey(after)) {
      return completeList();
    }
    Map<String, EndpointListing> changed = new LinkedHashMap<>();
    versions
        .subMap(after, false, visibleVersion, true)
        .values()
        .forEach(
            version -> {
              changed.remove(version.changed().host());
              changed.put(version.changed().host(), version.changed());
            });
    return new EndpointUpdate(visibleVersion, false, List.copyOf(changed.values()));
  }

  private void recordNotifications(int router, EndpointUpdate update) {
    Set<String> notified = notifiedByRouter.computeIfAbsent(router, r -> new LinkedHashSet<>());
    Set<String> included = new LinkedHashSet<>();
    for (EndpointListing entry : update.entries()) {
      included.add(entry.host());
      recorder.routerNotified(
          scheduler.now(), router, entry.host(), entry.health(), entry.startedAtNanos());
    }
    if (update.complete()) {
      notified.stream()
          .filter(host -> !included.contains(host))
          .forEach(
              host ->
                  recorder.routerNotified(
                      scheduler.now(), router, host, EndpointListing.Health.GONE, 0));
      notified.retainAll(included);
    }
    notified.addAll(included);
  }

  /** Returns the list that a router is configured with; the history records it as received. */
  public EndpointUpdate initialList(int router) {
    EndpointUpdate update = completeList();
    recordNotifications(router, update);
    return update;
  }

  /** Makes discovery unavailable, so that calls and open watches fail, or available again. */
  void setUnavailable(boolean on) {
    if (unavailable != on) {
      recorder.discoveryAvailability(scheduler.now(), !on);
    }
    unavailable = on;
    if (on) {
      List.copyOf(watches).forEach(Call::fail);
    }
  }

  /** Delays every reply. */
  void setDelayNanos(long nanos) {
    delayNanos = nanos;
  }

  /** Makes the list stale by a time; 0 for the current list. */
  void setLagNanos(long nanos) {
    stalenessNanos = nanos;
    List.copyOf(watches).forEach(this::replyIfNewer);
  }

  /** Returns the current entry of a cache server, or null if it is not listed. */
  public EndpointListing listing(String host) {
    return listings.get(host);
  }

  /** Returns the last version, which calls do not see while the list is stale. */
  public long version() {
    return versions.lastKey();
  }
}
