package beaconturn.history;

import java.util.ArrayList;
import java.util.List;

/**
 * No two routers act on contradicting configuration versions for longer than the stated time.
 *
 * <p>What shows at cache servers is which of them is sent to: of two versions that follow each
 * other, a server that only the earlier allows, and one that only the later allows; attempts beyond
 * the number that the later allows; repeats of what may have run, of classes that are
 * non-idempotent in one of them; and attempts to what had left the endpoint list. From the later
 * version's first effect anywhere, or from when it came into force if that is earlier, effects of
 * the earlier must end within the stated time; and before it is in force the later must have none.
 */
final class NoConflictingVersions extends Invariant {
  /**
   * An effect that the earlier of two versions allows and the later forbids.
   *
   * @param memberSinceNanos since when the router has been a member
   * @param effect in words that follow the number of the version
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
    List<VersionInForce> versions = VersionInForce.of(history);
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
    if (transition.needsAfter(request, attempt)
        && !hasJustJoined(history, attempt, memberSinceNanos)) {
      noteEffectOfAfter(attempt);
      checkNotAhead(transition.after(), attempt);
    }
    String effect = transition.needsBefore(request, attempt, attemptNumber);
    if (effect != null) {
      olderEffects.add(new OlderEffect(attempt, memberSinceNanos, effect));
    } else if (transition.couldNeedBefore(request, attempt)) {
      countHeld();
    }
  }

  private void noteEffectOfAfter(HistoryEvent.AttemptArrived attempt) {
    if (firstEffectOfAfter == null
        || attempt.earliestNanos() < firstEffectOfAfter.earliestNanos()) {
      firstEffectOfAfter = attempt;
    }
  }

  /**
   * The membership of the attempt's router at that time. A router that has left, or started without
   * a store in reach, was not asked for its ack and cannot know what came into force without it;
   * once it joins it has the stated time. Where nothing is known of a router it counts as a member.
   */
  private static HistoryEvent.MembershipChanged membership(
      HistoryIndex history, HistoryEvent.AttemptArrived attempt) {
    HistoryEvent.MembershipChanged last =
        new HistoryEvent.MembershipChanged(Long.MIN_VALUE, attempt.router(), true);
    for (HistoryEvent.MembershipChanged change :
        history.events(HistoryEvent.MembershipChanged.class)) {
      // The member record is written again with each ack: only a change of membership counts.
      if (change.router() == attempt.router()
          && change.atNanos() <= attempt.earliestNanos()
          && change.member() != last.member()) {
        last = change;
      }
    }
    return last;
  }

  /** Whether the router joined so lately that it need not act on what is in force yet. */
  private static boolean hasJustJoined(
      HistoryIndex history, HistoryEvent.AttemptArrived attempt, long memberSinceNanos) {
    return memberSinceNanos > Long.MIN_VALUE
        && history.elapsedNanos(memberSinceNanos, attempt.earliestNanos())
            <= history.bounds().convergenceNanos();
  }

  /**
   * Checks that no router acts on a version before it is in force. An attempt was sent before it
   * was read, so that the time of reading is the latest at which it can have been sent.
   */
  private void checkNotAhead(VersionInForce version, HistoryEvent.AttemptArrived attempt) {
    String ahead = ", which never came into force";
    if (version.isInForce()) {
      ahead = " " + millis(version.inForceNanos() - attempt.atNanos()) + " before it is in force";
    }
    check(
        attempt.atNanos() >= version.inForceNanos(),
        attempt.earliestNanos(),
        attempt.requestId(),
        attempt.server(),
        "router " + attempt.router() + " acts on version " + version.number() + ahead);
  }

  private void checkOlderEffects(HistoryIndex history, VersionTransition transition) {
    VersionInForce after = transition.after();
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
      VersionInForce before,
      OlderEffect older,
      long sinceNanos,
      String cause) {
    HistoryEvent.AttemptArrived attempt = older.attempt();
    long fromNanos = Math.max(sinceNanos, older.memberSinceNanos());
    long lateNanos = history.elapsedNanos(fromNanos, attempt.earliestNanos());
    observe(lateNanos);
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
