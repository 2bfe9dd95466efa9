package beaconturn.history;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A request that may have run is sent again only as its class allows: never where it is
 * non-idempotent, and with an idempotency key only within the group of servers that drops repeats,
 * for as long as that remembers the key.
 */
final class NoDuplicateEffect extends Invariant {
  private final Map<String, HistoryEvent.CacheServerStarted> servers = new HashMap<>();

  NoDuplicateEffect() {
    super("no-effect-twice", "what may have run is not run again");
  }

  @Override
  void evaluate(HistoryIndex history) {
    for (HistoryEvent.CacheServerStarted start :
        history.events(HistoryEvent.CacheServerStarted.class)) {
      servers.put(start.server(), start);
    }
    for (RequestRecord request : history.requests()) {
      boolean written = request.lastWrite() != null;
      if (written && ruleOf(history, request) != RepeatRule.ALWAYS) {
        checkRepeats(history, request);
        checkExecutions(history, request);
      }
    }
  }

  private static RepeatRule ruleOf(HistoryIndex history, RequestRecord request) {
    return history.bounds().repeatRule(request.requestClass());
  }

  private void checkRepeats(HistoryIndex history, RequestRecord request) {
    List<HistoryEvent.AttemptArrived> attempts = request.attempts();
    for (int i = 0; i < attempts.size(); i++) {
      HistoryEvent.AttemptArrived later = attempts.get(i);
      String objection = null;
      for (HistoryEvent.AttemptArrived earlier : attempts.subList(0, i)) {
        if (objection == null && history.mayHaveRun(earlier, later.atNanos())) {
          objection = repeatObjection(history, request, earlier, later);
        }
      }
      check(
          objection == null,
          later.atNanos(),
          request.id(),
          later.server(),
          "sent again: " + objection);
    }
  }

  /** Why an attempt must not follow another that may have run, or null where it may. */
  private String repeatObjection(
      HistoryIndex history,
      RequestRecord request,
      HistoryEvent.AttemptArrived earlier,
      HistoryEvent.AttemptArrived later) {
    if (ruleOf(history, request) == RepeatRule.NEVER) {
      return "unsafe and may have run on " + earlier.server();
    }
    RequestClassBounds bounds = history.bounds().requestClasses().get(request.requestClass());
    long windowNanos = bounds.deduplicationWindowNanos();
    long ageNanos = history.elapsedNanos(earlier.atNanos(), later.earliestNanos());
    if (ageNanos > windowNanos + history.bounds().sendSlackNanos()) {
      return "keyed, "
          + millis(ageNanos - windowNanos)
          + " after its repeats were no longer discarded";
    }
    boolean sameGroup =
        isSameGroup(
            bounds.deduplicationScope(),
            servers.get(earlier.server()),
            servers.get(later.server()));
    return sameGroup ? null : "keyed and may have run outside the group, on " + earlier.server();
  }

  /** Whether two servers drop each other's repeats. */
  private static boolean isSameGroup(
      String scope, HistoryEvent.CacheServerStarted one, HistoryEvent.CacheServerStarted other) {
    return switch (scope) {
      case "zone" -> one.zone().equals(other.zone());
      case "cell" -> one.zone().equals(other.zone()) && one.cell() == other.cell();
      default -> true;
    };
  }

  /**
   * An effect with an idempotency key that comes about again once the servers have forgotten the
   * key was sent by the rule: its first copy stood still somewhere for longer than the window. No
   * router can prevent that, so that it is noted only.
   */
  private void checkExecutions(HistoryIndex history, RequestRecord request) {
    List<HistoryEvent.CommandExecuted> executions =
        request.attempts().stream()
            .map(history::executionOf)
            .filter(execution -> execution != null && !execution.discarded())
            .sorted(Comparator.comparingLong(HistoryEvent.CommandExecuted::atNanos))
            .toList();
    int count = executions.size();
    long atNanos = count == 0 ? 0 : executions.get(count - 1).atNanos();
    long gapNanos = count > 1 ? executions.get(1).atNanos() - executions.get(0).atNanos() : 0;
    boolean forgotten = count > 1 && isForgottenAfter(history, request, gapNanos);
    check(
        count <= 1 || forgotten,
        atNanos,
        request.id(),
        "",
        "its effect has come about " + count + " times");
    if (forgotten) {
      note(
          atNanos,
          request.id(),
          "",
          "a keyed effect came about again "
              + millis(gapNanos)
              + " later, when its key was forgotten: its first copy had stood still for that long");
    }
  }

  private static boolean isForgottenAfter(
      HistoryIndex history, RequestRecord request, long gapNanos) {
    RequestClassBounds bounds = history.bounds().requestClasses().get(request.requestClass());
    return bounds != null
        && bounds.repeatRule() == RepeatRule.DEDUPLICATED
        && gapNanos >= bounds.deduplicationWindowNanos();
  }
}
