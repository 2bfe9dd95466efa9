package beaconturn.net.client;

/** The id of a request while the request has no response. For any thread. */
@FunctionalInterface
public interface RequestIdReservation {
  /** The request has its response. */
  void release();

  /** The request may be executed from now on, so that its id must not be sent again. */
  default void executionPossible() {}
}
