package beaconturn.history;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * Two configuration versions that follow each other, and what shows at cache servers of which of
 * them a router acts on.
 */
final class VersionTransition {
  private final HistoryIndex history;
  private final VersionInForce before;
  private final VersionInForce after;

  /** Cache servers that only the later version allows. */
  private final Set<String> allowedByAfter;

  VersionTransition(HistoryIndex history, VersionInForce before, VersionInForce after) {
    this.history = history;
    this.before = before;
    this.after = after;
    this.allowedByAfter = new TreeSet<>(before.excluded());
    this.allowedByAfter.removeAll(after.excluded());
  }

  VersionInForce before() {
    return before;
  }

  VersionInForce after() {
    return after;
  }

  /** Whether only the later version allows the attempt. */
  boolean needsAfter(RequestRecord request, HistoryEvent.AttemptArrived attempt) {
    if (allowedByAfter.contains(attempt.server())) {
      return true;
    }
    String requestClass = request.requestClass();
    boolean repeatsAllowedNow =
        before.nonIdempotentClasses().contains(requestClass)
            && !after.nonIdempotentClasses().contains(requestClass);
    return repeatsAllowedNow && isRepeat(request, attempt);
  }

  /**
   * What of an attempt only the earlier version allows, in words that follow its number; null where
   * the later allows the attempt.
   *
   * @param attemptNumber its number among the attempts of the request, from 1
   */
  String needsBefore(
      RequestRecord request, HistoryEvent.AttemptArrived attempt, int attemptNumber) {
    String server = attempt.server();
    if (after.excluded().contains(server) && !before.excluded().contains(server)) {
      return "";
    }
    if (isRepeatForbiddenNow(request) && isRepeat(request, attempt)) {
      return " with a repeat of what is unsafe by then";
    }
    if (isListLimited(attempt) && hadLeftList(server, attempt.earliestNanos())) {
      return "'s list, of before its server left it,";
    }
    if (attemptNumber > after.maxAttempts() && attemptNumber <= before.maxAttempts()) {
      return " with send " + attemptNumber + " of a request";
    }
    return null;
  }

  /** Whether an attempt could have been one that only the earlier version allows. */
  boolean couldNeedBefore(RequestRecord request, HistoryEvent.AttemptArrived attempt) {
    return isRepeatForbiddenNow(request) || isListLimited(attempt);
  }

  private boolean isRepeatForbiddenNow(RequestRecord request) {
    String requestClass = request.requestClass();
    return after.nonIdempotentClasses().contains(requestClass)
        && !before.nonIdempotentClasses().contains(requestClass);
  }

  private boolean isListLimited(HistoryEvent.AttemptArrived attempt) {
    return after.limitsListAge() && attempt.earliestNanos() >= after.inForceNanos();
  }

  /** Whether the server had left the list by the proposal of the later version, and stayed out. */
  private boolean hadLeftList(String server, long atNanos) {
    return isNotReady(server, after.proposedNanos()) && isNotReady(server, atNanos);
  }

  /** Whether discovery listed the server as draining or gone at that time. */
  private boolean isNotReady(String server, long atNanos) {
    HistoryEvent.ListingState state = HistoryEvent.ListingState.READY;
    for (HistoryEvent.ListingChanged change : history.events(HistoryEvent.ListingChanged.class)) {
      if (change.server().equals(server) && change.atNanos() <= atNanos) {
        state = change.state();
      }
    }
    return state != HistoryEvent.ListingState.READY;
  }

  /** Whether an earlier attempt of the request may have run by then. */
  private boolean isRepeat(RequestRecord request, HistoryEvent.AttemptArrived attempt) {
    List<HistoryEvent.AttemptArrived> attempts = request.attempts();
    return attempts.subList(0, indexOf(attempts, attempt)).stream()
        .anyMatch(earlier -> history.mayHaveRun(earlier, attempt.atNanos()));
  }

  /** The index of that very event, of which an equal one may exist. */
  @SuppressWarnings("ReferenceEquality")
  private static int indexOf(
      List<HistoryEvent.AttemptArrived> attempts, HistoryEvent.AttemptArrived attempt) {
    int index = 0;
    while (attempts.get(index) != attempt) {
      index++;
    }
    return index;
  }
}
