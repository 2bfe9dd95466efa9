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
  default void commanded(
      long at, String server, int router, long connection, CacheCommand command, long work) {}

  /** A command was answered; {@code reply} is what went out. */
  default void replied(long at, CacheCommand command, CacheResponse reply) {}

  /**
   * A command has taken effect or has made its value; {@code repeat} says that the effect was
   * discarded.
   */
  default void executed(long at, CacheCommand command, boolean repeat) {}

  /** A connection to a cache server has ended, in a turn of the driver, from whichever side. */
  default void ended(long at, long turn, long connection) {}

  /** A cache server process begins; it does so many nanoseconds of work in one when it is warm. */
  default void started(long at, EndpointListing server, double capacity) {}

  /** A cache server process has ended. */
  default void down(long at, String server) {}

  /** A cache server collapsed under work, or the origin did ({@code server} is then "origin"). */
  default void collapsed(long at, String server) {}

  /**
   * A fetch or write has reached the origin; {@code cold} says that a cold cache server sent it.
   */
  default void fetched(long at, String server, boolean cold, int inOrigin) {}

  /** The list has changed in truth, as discovery will tell it. */
  default void listed(long at, String server, EndpointListing.Health health) {}

  /** A router was told of a cache server's state. */
  default void told(long at, int router, String server, EndpointListing.Health health, long born) {}

  /** A router has called discovery or ends waiting on it. */
  default void asked(long at, int router) {}

  /** Discovery can be asked from now on, or no longer. */
  default void discovery(long at, boolean up) {}

  /** A router sent a cache server what it could not read. */
  default void unreadable(long at, String server, int router, String why) {}
}
