package beaconturn.net.client;

import beaconturn.protocol.Slice;

/** Reserves ids as the parser does, for tests of other packages. */
public final class RequestIdsProbe {
  private static final long NOW_NANOS = 1_000_000_000;

  private final PendingRequestIds ids;

  /** Creates a probe of these ids. */
  public RequestIdsProbe(PendingRequestIds ids) {
    this.ids = ids;
  }

  /** Has a request of that id executed and answered. */
  public void execute(String id) {
    try {
      RequestIdReservation reservation = ids.reserveForOneExecution(Slice.of(id), NOW_NANOS);
      reservation.executionPossible();
      reservation.release();
    } catch (InvalidCommandException e) {
      throw new AssertionError(e);
    }
  }

  /** Whether a request of that id may be executed; it is not. */
  public boolean mayExecute(String id) {
    try {
      ids.reserveForOneExecution(Slice.of(id), NOW_NANOS).release();
      return true;
    } catch (InvalidCommandException e) {
      return false;
    }
  }
}
