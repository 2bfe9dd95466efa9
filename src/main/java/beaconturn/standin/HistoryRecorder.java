package beaconturn.standin;

/**
 * Told of everything that an account of a rehearsal needs; called on the model's thread, times in
 * its clock.
 */
public interface HistoryRecorder {
  /** Keeps no account. */
  HistoryRecorder NONE = new HistoryRecorder() {};

  /**
   * A command has come whole; {@code work} is what it asks of a warm server at rated speed, in
   * nanoseconds.
   */
  default void commandReceived(
      long at, String server, int router, long connection, CacheCommand command, long work) {}

  /** A command was answered; {@code reply} is what went out. */
  default void responseSent(long at, CacheCommand command, CacheResponse reply) {}

  /**
   * A command has taken effect or has made its value; {@code repeat} says that the effect was
   * discarded.
   */
  default void commandExecuted(long at, CacheCommand command, boolean repeat) {}

  /** A connection to a cache server has ended, in a turn of the driver, from whichever side. */
  default void connectionClosed(long at, long turn, long connection) {}

  /** A cache server process begins; it does so many nanoseconds of work in one when it is warm. */
  default void serverStarted(long at, EndpointListing server, double capacity) {}

  /** A cache server process has ended. */
  default void serverStopped(long at, String server) {}

  /** A cache server collapsed under work, or the origin did ({@code server} is then "origin"). */
  default void overloaded(long at, String server) {}

  /**
   * A fetch or write has reached the origin; {@code cold} says that a cold cache server sent it.
   */
  default void originCalled(long at, String server, boolean cold, int inOrigin) {}

  /** The list has changed in truth, as discovery will tell it. */
  default void listingChanged(long at, String server, EndpointListing.Health health) {}

  /** A router was told of a cache server's state. */
  default void routerNotified(long at, int router, String server, EndpointListing.Health health, long born) {}

  /** A router has called discovery or ends waiting on it. */
  default void discoveryCalled(long at, int router) {}

  /** Discovery can be asked from now on, or no longer. */
  default void discoveryAvailability(long at, boolean up) {}

  /** A router sent a cache server what it could not read. */
  default void invalidInput(long at, String server, int router, String why) {}
}
