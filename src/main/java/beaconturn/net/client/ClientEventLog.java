package beaconturn.net.client;

import beaconturn.core.RateLimitedLog;
import beaconturn.protocol.RespValue;
import java.util.Collection;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.Logger;
import java.util.stream.Collectors;

/**
 * The log of single events on clients' connections: commands that are rejected, and why connections
 * end. A connection that ends while an answer is owed on it, and not by its client, is always
 * logged, with every id that goes without an answer; other lines are bounded in their rate. Nothing
 * is done for a request that is answered as usual. For any thread.
 */
public final class ClientEventLog {
  private static final Logger LOG = Logger.getLogger(ClientEventLog.class.getName());
  private static final int BURST_LINES = 20;
  private static final double LINES_PER_SECOND = 2;

  /** Where a request's id stands among the words of its command. */
  private static final int ID_INDEX = 2;

  private static final int MAX_ID_LENGTH = 32;
  private final AtomicLong connectionCount = new AtomicLong();
  private final RateLimitedLog rejectionLog =
      new RateLimitedLog(LOG, BURST_LINES, LINES_PER_SECOND);
  private final RateLimitedLog malformedLog =
      new RateLimitedLog(LOG, BURST_LINES, LINES_PER_SECOND);

  /** A budget for each reason: many idle connections that are ended hide no other end. */
  private final Map<EndReason, RateLimitedLog> endLogs = new EnumMap<>(EndReason.class);

  /** A log with all its budgets untouched. */
  public ClientEventLog() {
    for (EndReason reason : EndReason.values()) {
      endLogs.put(reason, new RateLimitedLog(LOG, BURST_LINES, LINES_PER_SECOND));
    }
  }

  /** Gives a new connection its number, from 1. */
  long connectionOpened() {
    return connectionCount.incrementAndGet();
  }

  /** A whole command got an error in its place. */
  void rejected(long connectionNumber, RespValue command, String cause, long nowNanos) {
    rejectionLog.log(
        nowNanos,
        () ->
            "connection "
                + connectionNumber
                + ": command "
                + idOf(command)
                + " rejected: "
                + cause);
  }

  private static String idOf(RespValue command) {
    boolean named =
        command instanceof RespValue.Array array
            && array.items() != null
            && array.items().size() > ID_INDEX
            && array.items().get(ID_INDEX) instanceof RespValue.Bulk id
            && id.bytes() != null;
    if (!named) {
      return "without an id";
    }
    String text =
        ((RespValue.Bulk) ((RespValue.Array) command).items().get(ID_INDEX)).bytes().toString();
    return text.substring(0, Math.min(MAX_ID_LENGTH, text.length())).replaceAll("[^!-~]", "?");
  }

  /** What came on a connection cannot be split into commands; it ends after so many answers. */
  void malformed(long connectionNumber, String cause, int owed, long nowNanos) {
    malformedLog.log(
        nowNanos,
        () ->
            "connection "
                + connectionNumber
                + ": malformed input: "
                + cause
                + "; ends after "
                + owed
                + " answers");
  }

  /**
   * A connection ends.
   *
   * @param unanswered the requests that have no answer
   * @param unwritten how many answers, of these or others, were not written whole
   */
  void ended(
      long connectionNumber,
      EndReason reason,
      Collection<RespClientRequest> unanswered,
      int unwritten,
      long nowNanos) {
    if (!reason.isByClient() && unwritten > 0) {
      String ids = unanswered.stream().map(RespClientRequest::id).collect(Collectors.joining(" "));
      LOG.warning(
          "connection "
              + connectionNumber
              + " ends with "
              + unwritten
              + " answers owed: "
              + reason
              + "; unanswered: "
              + ids);
    } else if (reason.isNotable()) {
      endLogs
          .get(reason)
          .log(nowNanos, () -> "connection " + connectionNumber + " ends: " + reason);
    }
  }
}
