package beaconturn.history;

import java.util.ArrayList;
import java.util.List;

/**
 * Checks that no two routers act on conflicting configuration versions for longer than the
 * convergence time.
 *
 * <p>The version that a router acts on shows in its attempts. Of two successive versions, these are
 * compared: attempts to servers that only one of them excludes; attempts beyond the maximum of the
 * later version; repeats of requests that may have run, of classes that are non-idempotent in one
 * of them; and attempts to servers that had left the endpoint list. Effects of the earlier version
 * must end within the convergence time after the later version came into force, or after its first
 * effect if that is earlier. The later version must have no effect before it is in force.
 */
final class NoConflictingVersions extends Invariant {
  /**
   * An effect that the earlier of two versions allows and the later forbids.
   *
   * @param memberSinceNanos when the router became a member
   * @param effect the effect in words that follow the version number in a violation
   */
  private record OlderEffect(
      HistoryEvent.AttemptArrived attempt, long memberSinceNanos, String effect) {}

  private final List<OlderEffect> olderEffects = new ArrayList<>();

  /** The first effect of the later version, or null. */
  private HistoryEvent.AttemptArrived firstEffectOfAfter;

  NoConflictingVersions() {
    super("no-contradiction", "nobody acts on an older version beyond the stated time");
  }

  @Override
  void evaluate(HistoryIndex history) {
    List<ObservedVersion> versions = ObservedVersion.of(history);
    for (int i = 1; i < versions.size(); i++) {
      long untilNanos =
          i + 1 < versions.size() ? versions.get(i + 1).proposedNanos() : Long.MAX_VALUE;
      VersionTransition transition =
          new VersionTransition(history, versions.get(i - 1), versions.get(i));
      collectEffects(history, transition, untilNanos);
      checkOlderEffects(history, transition);
    }
  }

  private void collectEffects(HistoryIndex history, VersionTransition transition, long untilNanos) {
    olderEffects.clear();
    firstEffectOfAfter = null;
    long fromNanos = transition.after().proposedNanos();
    for (RequestRecord request : history.requests()) {
      int attemptNumber = 0;
      for (HistoryEvent.AttemptArrived attempt : request.attempts()) {
        attemptNumber++;
        long atNanos = attempt.earliestNanos();
        if (atNanos >= fromNanos && atNanos < untilNanos) {
          collectEffects(history, transition, request, attempt, attemptNumber);
        }
      }
    }
  }

  private void collectEffects(
      HistoryIndex history,
      VersionTransition transition,
      RequestRecord request,
      HistoryEvent.AttemptArrived attempt,
      int attemptNumber) {
    HistoryEvent.MembershipChanged membership = membership(history, attempt);
    if (!membership.member()) {
      return;
    }
    long memberSinceNanos = membership.atNanos();
    if (transition.isEffectOfAfter(request, attempt)
        && !hasJustJoined(history, attempt, memberSinceNanos)) {
      recordEffectOfAfter(attempt);
      checkNotBeforeInForce(transition.after(), attempt);
    }
    String effect = transition.effectOfBefore(request, attempt, attemptNumber);
    if (effect != null) {
      olderEffects.add(new OlderEffect(attempt, memberSinceNanos, effect));
    } else if (transition.couldBeEffectOfBefore(request, attempt)) {
      countHeld();
    }
  }

  private void recordEffectOfAfter(HistoryEvent.AttemptArrived attempt) {
    if (firstEffectOfAfter == null
        || attempt.earliestNanos() < firstEffectOfAfter.earliestNanos()) {
      firstEffectOfAfter = attempt;
    }
  }

  /**
   * Returns the membership of the attempt's router when the attempt was sent. A router that has
   * left, or that started without reaching the store, did not acknowledge the versions that came
   * into force since; it has the convergence time once it joins. A router without events counts as
   * a member.
   */
  private static HistoryEvent.MembershipChanged membership(
      HistoryIndex history, HistoryEvent.AttemptArrived attempt) {
    HistoryEvent.MembershipChanged last =
        new HistoryEvent.MembershipChanged(Long.MIN_VALUE, attempt.router(), true);
    for (HistoryEvent.MembershipChanged change :
        history.events(HistoryEvent.MembershipChanged.class)) {
      // Each acknowledgement rewrites the member record; only a change of membership counts.
      if (change.router() == attempt.router()
          && change.atNanos() <= attempt.earliestNanos()
          && change.member() != last.member()) {
        last = change;
      }
    }
    return last;
  }

  /** Returns whether the router joined within the convergence time before the attempt. */
  private static boolean hasJustJoined(
      HistoryIndex history, HistoryEvent.AttemptArrived attempt, long memberSinceNanos) {
    return memberSinceNanos > Long.MIN_VALUE
        && history.elapsedNanos(memberSinceNanos, attempt.earliestNanos())
            <= history.bounds().convergenceNanos();
  }

  /**
   * Checks that no router acts on a version before the version is in force. An attempt is sent
   * before it is read, so the time of reading is the latest possible time of sending.
   */
  private void checkNotBeforeInForce(ObservedVersion version, HistoryEvent.AttemptArrived attempt) {
    String detail = ", which never came into force";
    if (version.isInForce()) {
      detail = " " + millis(version.inForceNanos() - attempt.atNanos()) + " before it is in force";
    }
    check(
        attempt.atNanos() >= version.inForceNanos(),
        attempt.earliestNanos(),
        attempt.requestId(),
        attempt.server(),
        "router " + attempt.router() + " acts on version " + version.number() + detail);
  }

  private void checkOlderEffects(HistoryIndex history, VersionTransition transition) {
    ObservedVersion after = transition.after();
    long sinceNanos = after.inForceNanos();
    String cause = "version " + after.number() + " came into force";
    if (firstEffectOfAfter != null && firstEffectOfAfter.earliestNanos() <= sinceNanos) {
      sinceNanos = firstEffectOfAfter.earliestNanos();
      cause = "router " + firstEffectOfAfter.router() + " acted on version " + after.number();
    }
    for (OlderEffect older : olderEffects) {
      if (older.attempt().earliestNanos() >= sinceNanos) {
        checkOlderEffect(history, transition.before(), older, sinceNanos, cause);
      }
    }
  }

  private void checkOlderEffect(
      HistoryIndex history,
      ObservedVersion before,
      OlderEffect older,
      long sinceNanos,
      String cause) {
    HistoryEvent.AttemptArrived attempt = older.attempt();
    long fromNanos = Math.max(sinceNanos, older.memberSinceNanos());
    long lateNanos = history.elapsedNanos(fromNanos, attempt.earliestNanos());
    recordDuration(lateNanos);
    InvariantBounds bounds = history.bounds();
    check(
        lateNanos <= bounds.convergenceNanos() + bounds.sendSlackNanos(),
        attempt.earliestNanos(),
        attempt.requestId(),
        attempt.server(),
        "router "
            + attempt.router()
            + " acts on version "
            + before.number()
            + older.effect()
            + " "
            + millis(lateNanos)
            + " after "
            + cause);
  }
}
