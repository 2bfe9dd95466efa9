package beaconturn.net.client;

import beaconturn.protocol.Slice;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The ids of pending requests, over all clients, and of requests that must not be executed again. A
 * second request with the id of a pending one is rejected, as the responses of the two could be
 * confused. For any thread.
 */
public final class PendingRequestIds {
  private final Set<String> reserved = ConcurrentHashMap.newKeySet();
  private final ExecutedRequestIds executed;

  /** Creates an empty set; executed requests of this process are known. */
  public PendingRequestIds() {
    this(new ExecutedRequestIds());
  }

  /** Creates an empty set; the executed requests may be those of another process too. */
  public PendingRequestIds(ExecutedRequestIds executed) {
    this.executed = executed;
  }

  /**
   * Reserves the id of a request that may be repeated.
   *
   * @throws InvalidCommandException if a pending request has the id
   */
  RequestIdReservation reserve(Slice id) throws InvalidCommandException {
    if (!reserved.add(text(id))) {
      throw new InvalidCommandException("a request of this id is open");
    }
    return () -> reserved.remove(text(id));
  }

  /**
   * Reserves the id of a request that may not be repeated.
   *
   * @throws InvalidCommandException if a pending request has the id, or one that may have been
   *     executed
   */
  RequestIdReservation reserveForOneExecution(Slice id, long nowNanos)
      throws InvalidCommandException {
    RequestIdReservation reservation = reserve(id);
    if (!executed.claim(id, nowNanos)) {
      reservation.release();
      throw new InvalidCommandException("a request of this id may have been executed");
    }
    return new SingleExecution(reservation, id);
  }

  int count() {
    return reserved.size();
  }

  private static String text(Slice id) {
    return new String(id.array(), id.from(), id.length(), StandardCharsets.ISO_8859_1);
  }

  /** Keeps the id in {@link #executed} if the request may have been executed. */
  private final class SingleExecution implements RequestIdReservation {
    private final RequestIdReservation pending;
    private final Slice id;
    private volatile boolean mayBeExecuted;

    SingleExecution(RequestIdReservation pending, Slice id) {
      this.pending = pending;
      this.id = id.compact();
    }

    @Override
    public void release() {
      pending.release();
      if (!mayBeExecuted) {
        executed.release(id);
      }
    }

    @Override
    public void executionPossible() {
      mayBeExecuted = true;
    }
  }
}
