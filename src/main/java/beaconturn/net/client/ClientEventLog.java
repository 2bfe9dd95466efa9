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
  private static final int BURST = 20;
  private static final double PER_SECOND = 2;

  /** Where a request's id stands among the words of its command. */
  private static final int ID = 2;

  private static final int LONGEST_ID = 32;
  private final AtomicLong connections = new AtomicLong();
  private final RateLimitedLog rejections = new RateLimitedLog(LOG, BURST, PER_SECOND);
  private final RateLimitedLog malformed = new RateLimitedLog(LOG, BURST, PER_SECOND);

  /** A budget for each reason: a crowd that is let go hides no other end. */
  private final Map<EndReason, RateLimitedLog> ends = new EnumMap<>(EndReason.class);

  public ClientEventLog() {
    for (EndReason reason : EndReason.values()) {
      ends.put(reason, new RateLimitedLog(LOG, BURST, PER_SECOND));
    }
  }

  /** The number of a new connection, from 1. */
  long connected() {
    return connections.incrementAndGet();
  }

  /** A whole command got an error in its place. */
  void rejected(long connection, RespValue command, String why, long now) {
    rejections.log(
        now, () -> "connection " + connection + ": command " + id(command) + " rejected: " + why);
  }

  private static String id(RespValue command) {
    boolean named =
        command instanceof RespValue.Array array
            && array.items() != null
            && array.items().size() > ID
            && array.items().get(ID) instanceof RespValue.Bulk id
            && id.bytes() != null;
    if (!named) {
      return "without an id";
    }
    String text = ((RespValue.Bulk) ((RespValue.Array) command).items().get(ID)).bytes().toString();
    return text.substring(0, Math.min(LONGEST_ID, text.length())).replaceAll("[^!-~]", "?");
  }

  /** What came on a connection cannot be split into commands; it ends after so many answers. */
  void malformed(long connection, String why, int owed, long now) {
    malformed.log(
        now,
        () ->
            "connection "
                + connection
                + ": malformed input: "
                + why
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
      long connection,
      EndReason reason,
      Collection<RespClientRequest> unanswered,
      int unwritten,
      long now) {
    if (!reason.byClient() && unwritten > 0) {
      String ids = unanswered.stream().map(RespClientRequest::id).collect(Collectors.joining(" "));
      LOG.warning(
          "connection "
              + connection
              + " ends with "
              + unwritten
              + " answers owed: "
              + reason
              + "; unanswered: "
              + ids);
    } else if (reason.notable()) {
      ends.get(reason).log(now, () -> "connection " + connection + " ends: " + reason);
    }
  }
}
