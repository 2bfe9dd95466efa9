package beaconturn.decision;

import java.util.ArrayList;
import java.util.List;

/** A request that the router has accepted, until its last attempt has closed. */
final class RequestState {
  final long id;
  final long key;
  final long hash;
  final int classIndex;
  final RequestClass type;
  final boolean write;
  final boolean overQuota;
  final long deadline;

  /** Until when an answer is in time, counted from the client's first try where that is known. */
  final long aimEnds;

  /** Which of the client's asks this is a try of. */
  final long ask;

  /** From here on an answer to a safe request earns nothing; the deadline for all others. */
  final long due;

  final List<AttemptState> attempts = new ArrayList<>(2);
  double keyPart;

  /** Its expected work, as a part of the usual. */
  double size;

  ServerState missedAt;
  OriginFetch flight;
  boolean queued;
  boolean streaming;

  /** Called off where it is late, to go to another cache. */
  boolean moves;

  boolean done;

  RequestState(
      RoutingEvent.RequestArrived e,
      RequestClass type,
      long now,
      long aimEnds,
      long ask,
      boolean overQuota,
      boolean cutAtAim) {
    this.id = e.requestId();
    this.key = e.key();
    this.hash = KeyHash.mix(e.key() != 0 ? e.key() : e.requestId());
    this.classIndex = e.requestClass();
    this.type = type;
    this.write = e.write();
    this.overQuota = overQuota;
    this.deadline = now + e.remainingNanos();
    this.aimEnds = aimEnds;
    this.ask = ask;
    this.due = cutAtAim ? Math.min(deadline, aimEnds) : deadline;
  }

  int openCount() {
    int count = 0;
    for (AttemptState a : attempts) {
      count += a.open ? 1 : 0;
    }
    return count;
  }

  boolean anyOpen() {
    return openCount() > 0;
  }

  /** Whether it may go where it might fail: it was not sent yet, and may be repeated. */
  boolean tries() {
    return attempts.isEmpty() && type.idempotency() == Idempotency.IDEMPOTENT;
  }

  boolean tried(ServerState s) {
    for (AttemptState a : attempts) {
      if (a.server == s) {
        return true;
      }
    }
    return false;
  }

  /** The first attempt that is out or may have had its effect; null if there is none. */
  AttemptState firstMaybeRun() {
    for (AttemptState a : attempts) {
      if (!a.neverRan) {
        return a;
      }
    }
    return null;
  }
}
