package beaconturn.history;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Checks that a request that may have run is repeated only as its class allows. A non-idempotent
 * request is never repeated. A request with an idempotency key is repeated only within the group of
 * servers that discard each other's duplicates, and within the deduplication window.
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
      String reason = null;
      for (HistoryEvent.AttemptArrived earlier : attempts.subList(0, i)) {
        if (reason == null && history.mayHaveRun(earlier, later.atNanos())) {
          reason = reasonForbidden(history, request, earlier, later);
        }
      }
      check(reason == null, later.atNanos(), request.id(), later.server(), "sent again: " + reason);
    }
  }

  /** Returns why an attempt must not follow an earlier one that may have run, or null if it may. */
  private String reasonForbidden(
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
    boolean deduplicated =
        sharesDeduplication(
            bounds.deduplicationScope(),
            servers.get(earlier.server()),
            servers.get(later.server()));
    return deduplicated ? null : "keyed and may have run outside the group, on " + earlier.server();
  }

  /** Returns whether two servers discard each other's duplicates. */
  private static boolean sharesDeduplication(
      String scope, HistoryEvent.CacheServerStarted first, HistoryEvent.CacheServerStarted second) {
    return switch (scope) {
      case "zone" -> first.zone().equals(second.zone());
      case "cell" -> first.zone().equals(second.zone()) && first.cell() == second.cell();
      default -> true;
    };
  }

  /**
   * Checks that a request had at most one effect. A second effect after the deduplication window is
   * only noted: the first attempt was delayed for longer than the window, which no router can
   * prevent.
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
    boolean keyExpired = count > 1 && isKeyExpiredAfter(history, request, gapNanos);
    check(
        count <= 1 || keyExpired,
        atNanos,
        request.id(),
        "",
        "its effect has come about " + count + " times");
    if (keyExpired) {
      note(
          atNanos,
          request.id(),
          "",
          "a keyed effect came about again "
              + millis(gapNanos)
              + " later, when its key was forgotten: its first copy had stood still for that long");
    }
  }

  private static boolean isKeyExpiredAfter(
      HistoryIndex history, RequestRecord request, long gapNanos) {
    RequestClassBounds bounds = history.bounds().requestClasses().get(request.requestClass());
    return bounds != null
        && bounds.repeatRule() == RepeatRule.DEDUPLICATED
        && gapNanos >= bounds.deduplicationWindowNanos();
  }
}
