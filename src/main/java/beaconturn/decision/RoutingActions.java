package beaconturn.decision;

/** What a router may do; every call takes effect at the time of the event being handled. */
public interface RoutingActions {
  /** Starts the request's next attempt; it is timed out after {@code allowFor}. */
  void send(long request, long server, long allowFor);

  /** Stops waiting for one attempt. */
  void cancel(long request, int attempt);

  /** Final answer: declined, and safe to try again after {@code retryAfter} (0: no advice). */
  void refuse(long request, long retryAfter, GiveUpReason why);

  /** Final answer: failed, with nothing promised. */
  void fail(long request, GiveUpReason why);

  /** Asks for a timer event. */
  void timer(long delay, long token);

  /** Subscribes to changes of the server list, or stops. */
  void watch(boolean on);

  /** Asks once for the whole server list. */
  void fetchList();

  /** Probes a server. */
  void probe(long server);

  /** Sends bytes to one peer, or to all with -1. */
  void tell(int peer, byte[] body);

  /** Closes idle connections to a server. */
  void closeIdle(long server);

  /** Adds a line to the operator's log. */
  void log(String text);
}
