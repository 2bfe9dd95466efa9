package beaconturn.core;

import beaconturn.decision.GiveUpReason;
import java.util.function.Supplier;
import java.util.logging.Logger;
import java.util.stream.Collectors;

/**
 * The log of what happens to single requests: rejections, failures and further attempts, each with
 * the request's id, its reason and the outcomes of its attempts so far. How many there were is said
 * once they are over; lines of single requests are bounded in their rate. Nothing is done for a
 * request that is answered by its first attempt. Routing thread only.
 */
final class RequestEventLog {
  private static final Logger LOG = Logger.getLogger(RoutingEngine.class.getName());
  private static final int MIN_REJECTIONS = 10;
  private static final int MIN_FAILURES = 3;
  private static final int BURST_LINES = 10;
  private static final double LINES_PER_SECOND = 2;
  private final RepeatedEventLog rejections =
      new RepeatedEventLog(LOG, "requests are refused", MIN_REJECTIONS);
  private final RepeatedEventLog failures =
      new RepeatedEventLog(LOG, "requests fail", MIN_FAILURES);
  private final RateLimitedLog rejectedLines =
      new RateLimitedLog(LOG, BURST_LINES, LINES_PER_SECOND);
  private final RateLimitedLog failedLines = new RateLimitedLog(LOG, BURST_LINES, LINES_PER_SECOND);
  private final RateLimitedLog retriedLines =
      new RateLimitedLog(LOG, BURST_LINES, LINES_PER_SECOND);

  /** Notes that a request was rejected. */
  void rejected(RequestTable.RequestEntry entry, GiveUpReason reason, long nowNanos) {
    rejections.note(nowNanos);
    rejectedLines.log(nowNanos, () -> line(entry, "refused", reason));
  }

  /** Notes that a request was answered as failed. */
  void failed(RequestTable.RequestEntry entry, GiveUpReason reason, long nowNanos) {
    failures.note(nowNanos);
    failedLines.log(nowNanos, () -> line(entry, "failed", reason));
  }

  /** Notes a further attempt, beside one that is out or after one that ended. */
  void retried(RequestTable.RequestEntry entry, Supplier<String> serverName, long nowNanos) {
    retriedLines.log(
        nowNanos,
        () ->
            "request "
                + entry.request().id()
                + ": attempt "
                + (entry.attempts().size() + 1)
                + " goes to "
                + serverName.get()
                + " after "
                + attemptOutcomes(entry));
  }

  /** Logs the end of what has not happened for a while; to be called again and again. */
  void check(long nowNanos) {
    rejections.check(nowNanos);
    failures.check(nowNanos);
  }

  private static String line(RequestTable.RequestEntry entry, String ending, GiveUpReason reason) {
    return "request "
        + entry.request().id()
        + " is "
        + ending
        + ": "
        + reason
        + ", attempts "
        + attemptOutcomes(entry);
  }

  private static String attemptOutcomes(RequestTable.RequestEntry entry) {
    return entry.attempts().stream()
        .map(a -> a.outcome() == null ? "out" : a.outcome().toString())
        .collect(Collectors.joining(" ", "[", "]"));
  }
}
