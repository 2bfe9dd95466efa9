package beaconturn.history;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * Two successive configuration versions. Determines from an attempt which of them its router acted
 * on.
 */
final class VersionTransition {
  private final HistoryIndex history;
  private final ObservedVersion before;
  private final ObservedVersion after;

  /** Cache servers that the earlier version excludes and the later does not. */
  private final Set<String> readmittedServers;

  VersionTransition(HistoryIndex history, ObservedVersion before, ObservedVersion after) {
    this.history = history;
    this.before = before;
    this.after = after;
    this.readmittedServers = new TreeSet<>(before.excluded());
    this.readmittedServers.removeAll(after.excluded());
  }

  ObservedVersion before() {
    return before;
  }

  ObservedVersion after() {
    return after;
  }

  /** Returns whether only the later version allows the attempt. */
  boolean isEffectOfAfter(RequestRecord request, HistoryEvent.AttemptArrived attempt) {
    if (readmittedServers.contains(attempt.server())) {
      return true;
    }
    String requestClass = request.requestClass();
    boolean repeatAllowedByAfter =
        before.nonIdempotentClasses().contains(requestClass)
            && !after.nonIdempotentClasses().contains(requestClass);
    return repeatAllowedByAfter && isRepeat(request, attempt);
  }

  /**
   * Returns which effect of the attempt only the earlier version allows, in words that follow the
   * version number in a violation; null if the later version allows the attempt.
   *
   * @param attemptNumber number of the attempt within the request, from 1
   */
  String effectOfBefore(
      RequestRecord request, HistoryEvent.AttemptArrived attempt, int attemptNumber) {
    String server = attempt.server();
    if (after.excluded().contains(server) && !before.excluded().contains(server)) {
      return "";
    }
    if (isRepeatForbiddenByAfter(request) && isRepeat(request, attempt)) {
      return " with a repeat of what is unsafe by then";
    }
    if (isListAgeLimited(attempt) && wasDelisted(server, attempt.earliestNanos())) {
      return "'s list, of before its server left it,";
    }
    if (attemptNumber > after.maxAttempts() && attemptNumber <= before.maxAttempts()) {
      return " with send " + attemptNumber + " of a request";
    }
    return null;
  }

  /** Returns whether the later version restricts attempts of this kind. */
  boolean couldBeEffectOfBefore(RequestRecord request, HistoryEvent.AttemptArrived attempt) {
    return isRepeatForbiddenByAfter(request) || isListAgeLimited(attempt);
  }

  private boolean isRepeatForbiddenByAfter(RequestRecord request) {
    String requestClass = request.requestClass();
    return after.nonIdempotentClasses().contains(requestClass)
        && !before.nonIdempotentClasses().contains(requestClass);
  }

  private boolean isListAgeLimited(HistoryEvent.AttemptArrived attempt) {
    return after.limitsListAge() && attempt.earliestNanos() >= after.inForceNanos();
  }

  /**
   * Returns whether the server was draining or gone both at the proposal of the later version and
   * at the given time.
   */
  private boolean wasDelisted(String server, long atNanos) {
    return isNotReady(server, after.proposedNanos()) && isNotReady(server, atNanos);
  }

  /** Returns whether discovery listed the server as draining or gone at a time. */
  private boolean isNotReady(String server, long atNanos) {
    HistoryEvent.ListingState state = HistoryEvent.ListingState.READY;
    for (HistoryEvent.ListingChanged change : history.events(HistoryEvent.ListingChanged.class)) {
      if (change.server().equals(server) && change.atNanos() <= atNanos) {
        state = change.state();
      }
    }
    return state != HistoryEvent.ListingState.READY;
  }

  /** Returns whether an earlier attempt of the request may have run before the given one. */
  private boolean isRepeat(RequestRecord request, HistoryEvent.AttemptArrived attempt) {
    List<HistoryEvent.AttemptArrived> attempts = request.attempts();
    return attempts.subList(0, indexOf(attempts, attempt)).stream()
        .anyMatch(earlier -> history.mayHaveRun(earlier, attempt.atNanos()));
  }

  /** Returns the index of this event by identity, as equal events may exist. */
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
