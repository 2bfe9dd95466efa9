package beaconturn.standin;

/**
 * Receives the events of the stand-ins that a history of a rehearsal consists of. Called on the
 * model's thread; times are in nanoseconds of its clock.
 */
public interface HistoryRecorder {
  /** Records nothing. */
  HistoryRecorder NONE = new HistoryRecorder() {};

  /**
   * A complete command was received.
   *
   * @param workNanos its work on a warm server at rated speed
   */
  default void commandReceived(
      long atNanos,
      String server,
      int router,
      long connection,
      CacheCommand command,
      long workNanos) {}

  /** A response to a command was sent. */
  default void responseSent(long atNanos, CacheCommand command, CacheResponse response) {}

  /**
   * A command took effect or produced its value.
   *
   * @param repeat whether the effect was discarded as a repeat
   */
  default void commandExecuted(long atNanos, CacheCommand command, boolean repeat) {}

  /** A connection to a cache server was closed by either side, in a turn of the event loop. */
  default void connectionClosed(long atNanos, long turn, long connection) {}

  /**
   * A cache server process started.
   *
   * @param capacity nanoseconds of work that it does in a nanosecond when warm
   */
  default void serverStarted(long atNanos, EndpointListing server, double capacity) {}

  /** A cache server process was killed. */
  default void serverStopped(long atNanos, String server) {}

  /** A cache server, or the origin (named "origin"), collapsed under overload. */
  default void overloaded(long atNanos, String server) {}

  /**
   * A fetch or write reached the origin.
   *
   * @param cold whether the calling cache server was cold
   * @param inOrigin calls in the origin, this one included
   */
  default void originCalled(long atNanos, String server, boolean cold, int inOrigin) {}

  /** Discovery changed the entry of a cache server in its endpoint list. */
  default void listingChanged(long atNanos, String server, EndpointListing.Health health) {}

  /** A router was sent the state of a cache server. */
  default void routerNotified(
      long atNanos,
      int router,
      String server,
      EndpointListing.Health health,
      long startedAtNanos) {}

  /** A router called discovery. */
  default void discoveryCalled(long atNanos, int router) {}

  /** Discovery became available or unavailable. */
  default void discoveryAvailability(long atNanos, boolean up) {}

  /** A router sent a cache server bytes that are not a valid command. */
  default void invalidInput(long atNanos, String server, int router, String reason) {}
}
