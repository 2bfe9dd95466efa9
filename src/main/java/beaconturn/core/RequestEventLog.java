package beaconturn.core;

import beaconturn.decision.GiveUpReason;
import java.util.function.Supplier;
import java.util.logging.Logger;
import java.util.stream.Collectors;

/**
 * Logs rejections, failures, cancellations and retries of requests, each with the request's id, the
 * reason and the outcomes of its attempts so far. Lines of single requests are rate-limited; the
 * start and the end of a series of rejections or failures are always logged. Confined to the
 * routing thread.
 */
final class RequestEventLog {
  private static final Logger LOG = Logger.getLogger(RoutingEngine.class.getName());
  private static final int MIN_REJECTIONS = 10;
  private static final int MIN_FAILURES = 3;
  private static final int BURST_LINES = 10;
  private static final double LINES_PER_SECOND = 2;
  private final RepeatedEventLog rejections =
      new RepeatedEventLog(LOG, "requests rejected", MIN_REJECTIONS);
  private final RepeatedEventLog failures =
      new RepeatedEventLog(LOG, "requests failed", MIN_FAILURES);
  private final RateLimitedLog rejectedLines =
      new RateLimitedLog(LOG, BURST_LINES, LINES_PER_SECOND);
  private final RateLimitedLog failedLines = new RateLimitedLog(LOG, BURST_LINES, LINES_PER_SECOND);
  private final RateLimitedLog cancelledLines =
      new RateLimitedLog(LOG, BURST_LINES, LINES_PER_SECOND);
  private final RateLimitedLog retriedLines =
      new RateLimitedLog(LOG, BURST_LINES, LINES_PER_SECOND);

  void rejected(RequestTable.RequestEntry entry, GiveUpReason reason, long nowNanos) {
    rejections.note(nowNanos);
    rejectedLines.log(nowNanos, () -> line(entry, "rejected", reason));
  }

  void failed(RequestTable.RequestEntry entry, GiveUpReason reason, long nowNanos) {
    failures.note(nowNanos);
    failedLines.log(nowNanos, () -> line(entry, "failed", reason));
  }

  /** Logs a request whose client disconnected before it had its response. */
  void cancelled(RequestTable.RequestEntry entry, long nowNanos) {
    cancelledLines.log(
        nowNanos,
        () ->
            "request "
                + entry.request().id()
                + " cancelled: client disconnected, attempts "
                + attemptOutcomes(entry));
  }

  /** Logs a retry or a hedged request. */
  void retried(RequestTable.RequestEntry entry, Supplier<String> serverName, long nowNanos) {
    retriedLines.log(
        nowNanos,
        () ->
            "request "
                + entry.request().id()
                + ": attempt "
                + (entry.attempts().size() + 1)
                + " sent to "
                + serverName.get()
                + " after "
                + attemptOutcomes(entry));
  }

  /** Logs the end of series without recent events. To be called periodically. */
  void check(long nowNanos) {
    rejections.check(nowNanos);
    failures.check(nowNanos);
  }

  private static String line(RequestTable.RequestEntry entry, String result, GiveUpReason reason) {
    return "request "
        + entry.request().id()
        + " "
        + result
        + ": "
        + reason
        + ", attempts "
        + attemptOutcomes(entry);
  }

  private static String attemptOutcomes(RequestTable.RequestEntry entry) {
    return entry.attempts().stream()
        .map(a -> a.outcome() == null ? "IN_FLIGHT" : a.outcome().toString())
        .collect(Collectors.joining(" ", "[", "]"));
  }
}
