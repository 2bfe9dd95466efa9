package beaconturn.net.client;

import beaconturn.core.RepeatedEventLog;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.logging.Logger;

/**
 * Limits the memory that the large requests of all client connections use together.
 *
 * <p>No command waits for memory. A reservation whose command is still arriving can be revoked in
 * favor of another command; if that yields too little, the other command gets no memory, its value
 * is discarded, and the request is rejected once it is complete. A client that does not finish its
 * command can therefore neither delay the requests of others nor exclude them for long.
 */
public final class LargeRequestMemory {
  private static final Logger LOG = Logger.getLogger(LargeRequestMemory.class.getName());

  /**
   * Time for a command to arrive before its reservation may be revoked for another one that is
   * arriving; about a TCP retransmission timeout, so that a lost packet does not cost a client its
   * request.
   */
  static final long REVOCABLE_AFTER_NANOS = 200_000_000;

  private final long limitBytes;

  /** Poller thread only. */
  private final RepeatedEventLog shortages =
      new RepeatedEventLog(
          LOG, "values of large requests are discarded, as all memory for them is in use", 1);

  // Guarded by this.
  private long reservedBytes;

  /** Reservations of commands that are not complete yet, the oldest first. */
  private final Set<MemoryReservation> arriving = new LinkedHashSet<>();

  /** Creates an unused amount of memory. */
  public LargeRequestMemory(long limitBytes) {
    this.limitBytes = limitBytes;
  }

  /**
   * Reserves memory for a command that is arriving; null if there is too little, even if the
   * reservations of commands that have been arriving for long are revoked. Poller thread only.
   *
   * @param bytes the size of the command
   * @param nowNanos the current time
   * @param onRevoked runs on the poller thread if the reservation is revoked; the command's value
   *     must be discarded then
   */
  MemoryReservation reserveForArriving(int bytes, long nowNanos, Runnable onRevoked) {
    MemoryReservation reservation = new MemoryReservation(this, bytes, nowNanos, onRevoked);
    boolean reserved = reserve(reservation, nowNanos, nowNanos - REVOCABLE_AFTER_NANOS);
    return reserved ? reservation : null;
  }

  /**
   * Reserves memory for a command that has arrived completely; null if there is too little, even if
   * the reservations of all commands that are still arriving are revoked. Poller thread only.
   *
   * @param bytes the size of the command
   * @param nowNanos the current time
   */
  MemoryReservation reserveForComplete(int bytes, long nowNanos) {
    MemoryReservation reservation = new MemoryReservation(this, bytes, nowNanos, () -> {});
    if (!reserve(reservation, nowNanos, nowNanos)) {
      return null;
    }
    markComplete(reservation);
    return reservation;
  }

  private boolean reserve(MemoryReservation added, long nowNanos, long revocableSinceNanos) {
    List<MemoryReservation> revoked = new ArrayList<>();
    boolean reserved;
    String usage;
    synchronized (this) {
      usage = reservedBytes + " bytes reserved, for " + arriving.size() + " arriving commands";
      reserved = makeRoom(added.bytes(), revocableSinceNanos, revoked);
      if (reserved) {
        reservedBytes += added.bytes();
        arriving.add(added);
      }
    }
    revoked.forEach(MemoryReservation::notifyRevoked);
    if (reserved && revoked.isEmpty()) {
      shortages.check(nowNanos);
    } else {
      shortages.note(nowNanos, usage);
    }
    return reserved;
  }

  /**
   * Revokes the oldest reservations as far as necessary; false, and without effect, if that is not
   * enough. Guarded by this.
   */
  private boolean makeRoom(int bytes, long revocableSinceNanos, List<MemoryReservation> revoked) {
    long freeBytes = limitBytes - reservedBytes;
    for (MemoryReservation candidate : arriving) {
      if (freeBytes >= bytes || candidate.reservedAtNanos() > revocableSinceNanos) {
        break;
      }
      freeBytes += candidate.bytes();
      revoked.add(candidate);
    }
    if (freeBytes < bytes) {
      revoked.clear();
      return false;
    }
    revoked.forEach(this::release);
    return true;
  }

  /** The number of bytes that are reserved. For any thread. */
  synchronized long reservedBytes() {
    return reservedBytes;
  }

  /** Records that the command of a reservation is complete; it cannot be revoked any more. */
  synchronized void markComplete(MemoryReservation reservation) {
    arriving.remove(reservation);
  }

  /** Ends a reservation; only the first call for a reservation has an effect. */
  synchronized void release(MemoryReservation reservation) {
    if (reservation.markReleased()) {
      arriving.remove(reservation);
      reservedBytes -= reservation.bytes();
    }
  }
}
