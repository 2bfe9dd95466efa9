package beaconturn.core;

import beaconturn.decision.GiveUpReason;
import java.util.function.Supplier;
import java.util.logging.Logger;
import java.util.stream.Collectors;

/**
 * The log of what happens to single requests: refusals, failures and further attempts, each with
 * the request's id, its reason and the ends of its attempts so far. Spells say how many there were;
 * lines of single requests are bounded in their rate. Nothing is done for a request that is
 * answered by its first attempt. For the module's thread.
 */
final class RequestEventLog {
  private static final Logger LOG = Logger.getLogger(RoutingEngine.class.getName());
  private static final int REFUSALS_BEGIN = 10;
  private static final int FAILURES_BEGIN = 3;
  private static final int BURST = 10;
  private static final double PER_SECOND = 2;
  private final RepeatedEventLog refusals =
      new RepeatedEventLog(LOG, "requests are refused", REFUSALS_BEGIN);
  private final RepeatedEventLog failures =
      new RepeatedEventLog(LOG, "requests fail", FAILURES_BEGIN);
  private final RateLimitedLog refused = new RateLimitedLog(LOG, BURST, PER_SECOND);
  private final RateLimitedLog failed = new RateLimitedLog(LOG, BURST, PER_SECOND);
  private final RateLimitedLog retried = new RateLimitedLog(LOG, BURST, PER_SECOND);

  /** A request is answered with a refusal. */
  void refused(RequestTable.Entry request, GiveUpReason why, long now) {
    refusals.note(now);
    refused.log(now, () -> line(request, "refused", why));
  }

  /** A request is answered as failed. */
  void failed(RequestTable.Entry request, GiveUpReason why, long now) {
    failures.note(now);
    failed.log(now, () -> line(request, "failed", why));
  }

  /** A request has a further attempt, beside one that is out or after one that ended. */
  void retried(RequestTable.Entry request, Supplier<String> server, long now) {
    retried.log(
        now,
        () ->
            "request "
                + request.call().id()
                + ": attempt "
                + (request.attempts().size() + 1)
                + " goes to "
                + server.get()
                + " after "
                + attempts(request));
  }

  /** Ends the spells that are over; called now and then. */
  void check(long now) {
    refusals.check(now);
    failures.check(now);
  }

  private static String line(RequestTable.Entry request, String how, GiveUpReason why) {
    return "request "
        + request.call().id()
        + " is "
        + how
        + ": "
        + why
        + ", attempts "
        + attempts(request);
  }

  private static String attempts(RequestTable.Entry request) {
    return request.attempts().stream()
        .map(a -> a.ending() == null ? "out" : a.ending().toString())
        .collect(Collectors.joining(" ", "[", "]"));
  }
}
