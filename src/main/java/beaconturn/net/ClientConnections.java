package beaconturn.net;

import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** The open connections of clients: how many there may be, and which are closed when. */
final class ClientConnections {
    private static final long MILLI = 1_000_000;
    /** A client that takes no byte for so long is not coming back for its answer. */
    private static final long LONGEST_WRITE = 10_000 * MILLI;
    /** An answer just written should reach its client before the connection ends. */
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

    int count() {
        return open.size();
    }

    /** Makes room for one more by closing the one that has been quiet longest; false if all are at work. */
    boolean makeRoom(long now) {
        if (open.size() < most) {
            return true;
        }
        List<ClientConnection> quiet = open.stream().filter(c -> c.quietSince() < now - SETTLED)
            .sorted(Comparator.comparingLong(ClientConnection::quietSince)).limit(1).toList();
        quiet.forEach(this::close);
        return !quiet.isEmpty();
    }

    /** Closes the connections between requests, leaving alone those whose last answer is very new. */
    void closeQuiet(long now) {
        open.stream().filter(c -> c.quietSince() < now - SETTLED).forEach(this::close);
    }

    /** Closes the connections whose clients have stopped reading. */
    void closeStuck(long now) {
        open.stream().filter(c -> c.writingSince() < now - LONGEST_WRITE).forEach(ClientConnection::close);
    }

    private void close(ClientConnection connection) {
        connection.close();
        open.remove(connection);
    }
}
