package beaconturn.net;

import java.util.Comparator;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** The open connections of clients: how many there may be, and which are closed when. */
final class ClientConnections {
    private static final long MILLI = 1_000_000;
    /** A client that takes no byte for so long is not coming back for its answer. */
    private static final long LONGEST_WRITE = 10_000 * MILLI;
    /** A command whose rest does not come for so long holds a place that others want. */
    private static final long LONGEST_HALF = 10_000 * MILLI;
    /** An answer just written should reach its client before the connection is closed for room. */
    private static final long SETTLED = 30 * MILLI;

    private final Set<ClientConnection> open = ConcurrentHashMap.newKeySet();
    private final int most;

    ClientConnections(int most) {
        this.most = most;
    }

    void add(ClientConnection connection) {
        open.add(connection);
    }

    void remove(ClientConnection connection) {
        open.remove(connection);
    }

    int most() {
        return most;
    }

    int count() {
        return open.size();
    }

    /** Makes room for one more by closing the one that has been quiet longest; false if all are at work. */
    boolean makeRoom(long now) {
        if (open.size() < most) {
            return true;
        }
        Optional<ClientConnection> oldest = open.stream().filter(c -> c.quietSince() < now - SETTLED)
            .min(Comparator.comparingLong(ClientConnection::quietSince));
        oldest.ifPresent(c -> {
            c.finishIfQuiet();
            c.close();
        });
        return open.size() < most;
    }

    /** Ends the connections between requests. */
    void finishQuiet() {
        open.forEach(ClientConnection::finishIfQuiet);
    }

    /** Closes the connections whose clients have stopped reading or writing, or do not close their end. */
    void sweep(long now) {
        open.stream().filter(c -> c.writingSince() < now - LONGEST_WRITE
            || c.halfReadSince() < now - LONGEST_HALF
            || c.closingSince() < now - ClientConnection.LINGER_MILLIS * MILLI)
            .forEach(ClientConnection::close);
    }
}
