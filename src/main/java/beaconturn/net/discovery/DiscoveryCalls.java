package beaconturn.net.discovery;

import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * The calls to discovery that several threads make: its current address, the version of the last
 * endpoint list received from it, and the open calls. Safe for any thread; only {@link #next}
 * blocks.
 *
 * <p>Guards against late responses: calls to a former address are dropped by a move, and a response
 * that was overtaken by that of another call is accepted only if its list is newer.
 */
final class DiscoveryCalls {
  /** No known version: the complete list must be fetched. */
  private static final long NO_VERSION = -1;

  /**
   * An open call.
   *
   * @param scheduled its kind and times
   * @param client its connection
   * @param version the version of the last list received before it
   */
  record OpenCall(CallSchedule.Call scheduled, DiscoveryClient client, long version) {}

  // Guarded by this:
  private final CallSchedule schedule;
  private final Set<OpenCall> open = new HashSet<>();
  private InetSocketAddress address;
  private long version;

  /**
   * The connection of a call that has just been answered, or null. Its thread is about to ask for
   * the next call and goes first, so that the connection is used again.
   */
  private DiscoveryClient reservedFor;

  DiscoveryCalls(InetSocketAddress address, long version, CallTiming timing) {
    this.address = address;
    this.version = version;
    this.schedule = new CallSchedule(timing);
  }

  synchronized InetSocketAddress address() {
    return address;
  }

  /** Starts, resumes or stops watching for changes. */
  synchronized void watch(boolean on) {
    schedule.watch(on);
    notifyAll();
  }

  /** Requests the complete list once, whatever calls are open. */
  synchronized void fetch() {
    schedule.requestList();
    notifyAll();
  }

  /**
   * Moves to a new address and aborts open calls. Discards the known version, as the new discovery
   * may count versions differently.
   */
  synchronized void move(InetSocketAddress to) {
    for (OpenCall call : open) {
      call.client().shutDown();
    }
    open.clear();
    address = to;
    version = NO_VERSION;
    reservedFor = null;
    schedule.restart();
    notifyAll();
  }

  /**
   * Starts the next call; blocks until one is due.
   *
   * @param idle the open connection of the calling thread's last call, or null. It is used only for
   *     a call that follows at once, as a connection that has been idle may be dead.
   */
  synchronized OpenCall next(DiscoveryClient idle) throws InterruptedException {
    releaseReservation(idle);
    boolean reusesConnection =
        idle != null && idle.address().equals(address) && nanosUntilDue() <= 0;
    if (idle != null && !reusesConnection) {
      idle.shutDown();
    }
    awaitDue();
    OpenCall call =
        new OpenCall(
            schedule.start(System.nanoTime(), version != NO_VERSION),
            reusesConnection ? idle : new DiscoveryClient(address),
            version);
    open.add(call);
    // The other threads wait until this call is overdue.
    notifyAll();
    return call;
  }

  private void awaitDue() throws InterruptedException {
    for (long leftNanos = nanosUntilDue(); leftNanos > 0; leftNanos = nanosUntilDue()) {
      if (leftNanos == CallSchedule.NOT_DUE) {
        wait();
      } else {
        TimeUnit.NANOSECONDS.timedWait(this, leftNanos);
      }
    }
  }

  private void releaseReservation(DiscoveryClient client) {
    if (client != null && client.equals(reservedFor)) {
      reservedFor = null;
      notifyAll();
    }
  }

  private long nanosUntilDue() {
    if (reservedFor != null) {
      return CallSchedule.NOT_DUE;
    }
    return schedule.nanosUntilDue(System.nanoTime());
  }

  /** Whether a list of that version, received by the call, is to be applied. */
  synchronized boolean accepts(OpenCall call, long listVersion) {
    return open.contains(call) && (call.version() == version || listVersion > version);
  }

  /** Records the response of a call whose list was applied. */
  synchronized void applied(OpenCall call, long listVersion) {
    version = listVersion;
    answered(call);
  }

  /** Records the response of a call whose list was not applied. */
  synchronized void answered(OpenCall call) {
    if (open.remove(call)) {
      schedule.answered(call.scheduled(), System.nanoTime());
      reservedFor = call.client();
    }
  }

  /** Records the failure of a call. Returns whether to report it to the routing policy. */
  synchronized boolean failed(OpenCall call) {
    return open.remove(call) && schedule.failed(call.scheduled(), System.nanoTime());
  }

  /** Whether a call that has timed out stays open all the same. */
  synchronized boolean outlastsTimeout(OpenCall call) {
    return schedule.outlastsTimeout(call.scheduled());
  }

  /** Records that a call ended without a response; no effect if its outcome is known already. */
  synchronized void abandoned(OpenCall call) {
    releaseReservation(call.client());
    if (open.remove(call)) {
      schedule.abandoned(call.scheduled());
    }
  }
}
