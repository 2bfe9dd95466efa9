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
 * Logs rejected commands and closes of client connections. A close by the router while responses
 * are outstanding is always logged, with the ids of the unanswered requests; all other lines are
 * rate-limited. Requests that are answered normally are not logged. For any thread.
 */
public final class ClientEventLog {
  private static final Logger LOG = Logger.getLogger(ClientEventLog.class.getName());
  private static final int BURST_LINES = 20;
  private static final double LINES_PER_SECOND = 2;

  /** Index of the request id among the arguments of a command. */
  private static final int ID_INDEX = 2;

  private static final int MAX_ID_LENGTH = 32;
  private static final int MAX_LOGGED_IDS = 4;
  private static final long NANOS_PER_MILLI = 1_000_000;
  private final AtomicLong connectionCount = new AtomicLong();
  private final RateLimitedLog rejectionLog =
      new RateLimitedLog(LOG, BURST_LINES, LINES_PER_SECOND);
  private final RateLimitedLog protocolErrorLog =
      new RateLimitedLog(LOG, BURST_LINES, LINES_PER_SECOND);

  private final RateLimitedLog disconnectLog =
      new RateLimitedLog(LOG, BURST_LINES, LINES_PER_SECOND);

  /** One limit per reason, so that many closes for one reason do not hide those for another. */
  private final Map<CloseReason, RateLimitedLog> closeLogs = new EnumMap<>(CloseReason.class);

  /** Creates a log with full rate limits. */
  public ClientEventLog() {
    for (CloseReason reason : CloseReason.values()) {
      closeLogs.put(reason, new RateLimitedLog(LOG, BURST_LINES, LINES_PER_SECOND));
    }
  }

  /** Returns the number of a new connection, starting at 1. */
  long nextConnectionNumber() {
    return connectionCount.incrementAndGet();
  }

  /** Logs that a complete command was answered with an error. */
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
    boolean hasId =
        command instanceof RespValue.Array array
            && array.items() != null
            && array.items().size() > ID_INDEX
            && array.items().get(ID_INDEX) instanceof RespValue.Bulk id
            && id.bytes() != null;
    if (!hasId) {
      return "without an id";
    }
    String text =
        ((RespValue.Bulk) ((RespValue.Array) command).items().get(ID_INDEX)).bytes().toString();
    return text.substring(0, Math.min(MAX_ID_LENGTH, text.length())).replaceAll("[^!-~]", "?");
  }

  /**
   * Logs input that cannot be split into commands; the connection closes after the pending
   * responses.
   */
  void protocolError(long connectionNumber, String cause, int pendingResponses, long nowNanos) {
    protocolErrorLog.log(
        nowNanos,
        () ->
            "connection "
                + connectionNumber
                + ": protocol error: "
                + cause
                + "; closes after "
                + pendingResponses
                + " pending responses");
  }

  /**
   * Logs that a client has disconnected while requests have no response.
   *
   * @param unanswered the requests without a response
   * @param unprocessedBytes bytes that were read and not processed
   * @param unreadForNanos how long input was last left in the socket before the router read the end
   *     of the stream, 0 for not at all
   */
  void clientDisconnected(
      long connectionNumber,
      Collection<RespClientRequest> unanswered,
      int unprocessedBytes,
      long unreadForNanos,
      long nowNanos) {
    disconnectLog.log(
        nowNanos,
        () ->
            "connection "
                + connectionNumber
                + ": client disconnected with "
                + unanswered.size()
                + " unanswered requests, "
                + unprocessedBytes
                + " bytes unprocessed, input left unread for "
                + unreadForNanos / NANOS_PER_MILLI
                + " ms; first requests: "
                + ids(unanswered.stream().limit(MAX_LOGGED_IDS).toList()));
  }

  private static String ids(Collection<RespClientRequest> requests) {
    return requests.stream().map(RespClientRequest::id).collect(Collectors.joining(" "));
  }

  /**
   * Logs that a connection closes.
   *
   * @param unanswered the requests without a response
   * @param unwritten the number of responses that were not written completely, including those of
   *     unanswered requests
   */
  void closed(
      long connectionNumber,
      CloseReason reason,
      Collection<RespClientRequest> unanswered,
      int unwritten,
      long nowNanos) {
    if (!reason.isClientInitiated() && unwritten > 0) {
      LOG.warning(
          "connection "
              + connectionNumber
              + " closes with "
              + unwritten
              + " responses outstanding: "
              + reason
              + "; unanswered requests: "
              + ids(unanswered));
    } else if (reason.isLogged()) {
      closeLogs
          .get(reason)
          .log(nowNanos, () -> "connection " + connectionNumber + " closes: " + reason);
    }
  }
}
