package beaconturn.stats;

/** Where the work of one process is counted; any thread may call, and no call waits. */
public interface RequestMetrics {
  /** Counts nothing: for a router whose figures nobody can ask for. */
  RequestMetrics NONE = new RequestMetrics() {};

  /** How a request ended, each in exactly one way. */
  enum End {
    ANSWERED,
    DEFERRED,
    ERRORED,
    ABANDONED
  }

  /** A request has been taken. */
  default void taken() {}

  /** A request that had been taken is over; {@code requestClass} is the class it was taken with. */
  default void ended(String requestClass, End how) {}

  /** An attempt has been written whole to a cache server. */
  default void sent() {}

  /** How a cache server had the key that it answered for. */
  enum Found {
    HIT,
    MISS,
    UNSAID
  }

  /** A request has been served whose client wanted it by {@code aim}, by the router's clock. */
  default void served(long aim) {}

  /** A request has come to the module. */
  default void arrived() {}

  /**
   * An attempt is over: {@code good} where its cache server answered it, after so many nanoseconds,
   * which was {@code late} after the aim of its class.
   */
  default void attempt(long server, boolean good, Found found, long took, boolean late) {}

  /** So many cache servers are listed, and so many of them are avoided, by hand or by choice. */
  default void fleet(int listed, int avoided) {}

  /** A configuration was taken at a reload, or turned down. */
  default void reloaded(boolean taken) {}

  /**
   * The settings in force name this class, which is shown from now on though it has counted
   * nothing.
   */
  default void names(String requestClass) {}
}
