package beaconturn.decision;

import java.util.ArrayList;
import java.util.List;

/** A request that the router has accepted, until its last attempt has closed. */
final class Request {
    final long id;
    final long key;
    final long hash;
    final int classIndex;
    final Routing.RequestClass type;
    final boolean write;
    final boolean overQuota;
    final long deadline;
    /** From here on an answer to a safe request earns nothing; the deadline for all others. */
    final long due;
    final List<Attempt> attempts = new ArrayList<>(2);
    double keyPart;
    Server missedAt;
    Flight flight;
    boolean queued;
    boolean streaming;
    boolean done;

    Request(Routing.Arrival e, Routing.RequestClass type, long now, boolean overQuota,
            boolean cutAtAim) {
        this.id = e.request();
        this.key = e.key();
        this.hash = Hash.mix(e.key() != 0 ? e.key() : e.request());
        this.classIndex = e.requestClass();
        this.type = type;
        this.write = e.write();
        this.overQuota = overQuota;
        this.deadline = now + e.left();
        this.due = cutAtAim ? Math.min(deadline, now + type.aim()) : deadline;
    }

    int openCount() {
        int count = 0;
        for (Attempt a : attempts) {
            count += a.open ? 1 : 0;
        }
        return count;
    }

    boolean anyOpen() {
        return openCount() > 0;
    }

    boolean tried(Server s) {
        for (Attempt a : attempts) {
            if (a.server == s) {
                return true;
            }
        }
        return false;
    }

    /** The first attempt that is out or may have had its effect; null if there is none. */
    Attempt firstMaybeRun() {
        for (Attempt a : attempts) {
            if (!a.neverRan) {
                return a;
            }
        }
        return null;
    }
}
