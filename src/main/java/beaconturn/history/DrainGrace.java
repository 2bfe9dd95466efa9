package beaconturn.history;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;

/**
 * Checks that a server receives no attempt of a router later than the drain grace after the router
 * was notified that the server is draining or gone.
 */
final class DrainGrace extends Invariant {
  /** Identifies the notifications of one router about one server. */
  private record NotificationKey(int router, String server) {}

  /** Listing states by the time at which the router received them, or counts as notified. */
  private final Map<NotificationKey, TreeMap<Long, HistoryEvent.ListingState>> notifications =
      new HashMap<>();

  DrainGrace() {
    super("drains-kept", "nothing new to a server that drains or is gone");
  }

  @Override
  void evaluate(HistoryIndex history) {
    for (HistoryEvent.RouterNotified notified : history.events(HistoryEvent.RouterNotified.class)) {
      addNotification(
          receivedNanos(history, notified), notified.router(), notified.server(), notified.state());
    }
    for (HistoryEvent.ListingChanged change : history.events(HistoryEvent.ListingChanged.class)) {
      addImplicitNotifications(history, change);
    }
    for (HistoryEvent.AttemptArrived attempt : history.events(HistoryEvent.AttemptArrived.class)) {
      checkAttempt(history, attempt);
    }
  }

  private void checkAttempt(HistoryIndex history, HistoryEvent.AttemptArrived attempt) {
    TreeMap<Long, HistoryEvent.ListingState> known =
        notifications.getOrDefault(
            new NotificationKey(attempt.router(), attempt.server()), new TreeMap<>());
    Map.Entry<Long, HistoryEvent.ListingState> latest = known.floorEntry(attempt.earliestNanos());
    if (latest == null) {
      check(
          false,
          attempt.earliestNanos(),
          attempt.requestId(),
          attempt.server(),
          "sent before any news of it");
      return;
    }
    HistoryEvent.ListingState state = latest.getValue();
    long notReadyNanos =
        history.elapsedNanos(notReadySince(known, latest), attempt.earliestNanos());
    long overdueNanos = notReadyNanos - history.bounds().drainGraceNanos();
    check(
        state == HistoryEvent.ListingState.READY
            || overdueNanos <= history.bounds().sendSlackNanos(),
        attempt.earliestNanos(),
        attempt.requestId(),
        attempt.server(),
        "sent "
            + millis(overdueNanos)
            + " after the grace for what is "
            + state.name().toLowerCase(Locale.ROOT));
  }

  /**
   * Returns when a router received a notification. A notification that was written while the link
   * was cut or delayed is received once the link works again.
   */
  private static long receivedNanos(HistoryIndex history, HistoryEvent.RouterNotified notified) {
    boolean prompt = true;
    for (HistoryEvent.DiscoveryLinkChanged link :
        history.events(HistoryEvent.DiscoveryLinkChanged.class)) {
      if (link.router() == notified.router()) {
        if (link.atNanos() <= notified.atNanos()) {
          prompt = link.prompt();
        } else if (!prompt && link.prompt()) {
          return link.atNanos();
        }
      }
    }
    return prompt ? notified.atNanos() : Long.MAX_VALUE;
  }

  /**
   * Returns when the server stopped being ready. A server that drains and is then gone counts from
   * the drain.
   */
  private static long notReadySince(
      NavigableMap<Long, HistoryEvent.ListingState> known,
      Map.Entry<Long, HistoryEvent.ListingState> latest) {
    long startNanos = latest.getKey();
    for (Map.Entry<Long, HistoryEvent.ListingState> entry = latest;
        entry != null && entry.getValue() != HistoryEvent.ListingState.READY;
        entry = known.lowerEntry(entry.getKey())) {
      startNanos = entry.getKey();
    }
    return startNanos;
  }

  private void addNotification(
      long atNanos, int router, String server, HistoryEvent.ListingState state) {
    notifications
        .computeIfAbsent(new NotificationKey(router, server), key -> new TreeMap<>())
        .put(atNanos, state);
  }

  /**
   * Counts a router that could poll discovery, and did not, as notified once the maximum poll
   * interval has passed since the change.
   */
  private void addImplicitNotifications(HistoryIndex history, HistoryEvent.ListingChanged change) {
    long untilNanos = change.atNanos() + history.bounds().maxPollIntervalNanos();
    for (int router : notifiedRouters(history)) {
      boolean polled = hasPolled(history, router, change.atNanos(), untilNanos);
      if (!polled && !couldNotPoll(history, router, untilNanos)) {
        addNotification(untilNanos, router, change.server(), change.state());
      }
    }
  }

  private static boolean hasPolled(
      HistoryIndex history, int router, long changeNanos, long untilNanos) {
    long fromNanos = changeNanos - history.bounds().maxPollIntervalNanos();
    return history.events(HistoryEvent.DiscoveryPolled.class).stream()
        .filter(poll -> poll.router() == router)
        .anyMatch(poll -> poll.atNanos() >= fromNanos && poll.atNanos() <= untilNanos);
  }

  private static boolean couldNotPoll(HistoryIndex history, int router, long untilNanos) {
    boolean unreachable =
        history.events(HistoryEvent.DiscoveryReachability.class).stream()
            .anyMatch(event -> !event.reachable() && event.atNanos() <= untilNanos);
    return unreachable
        || history.events(HistoryEvent.RouterStopped.class).stream()
            .anyMatch(stop -> stop.router() == router);
  }

  private static List<Integer> notifiedRouters(HistoryIndex history) {
    return history.events(HistoryEvent.RouterNotified.class).stream()
        .map(HistoryEvent.RouterNotified::router)
        .distinct()
        .toList();
  }
}
