package beaconturn.net;

import beaconturn.core.Attempt;
import beaconturn.core.Clock;
import beaconturn.core.Outcome;
import beaconturn.decision.Routing;
import beaconturn.protocol.InputBuffer;
import beaconturn.protocol.ProtocolException;
import beaconturn.protocol.RespReader;
import beaconturn.protocol.RespValue;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.logging.Logger;

/**
 * One connection to a cache server, which carries one request at a time: answers come in order, so a second
 * request would wait for the first, and giving one up would cut off the other. Its thread reads at all
 * times, so that a peer's close is seen before the next request is written.
 */
final class CacheConnection {
    private static final Logger LOG = Logger.getLogger(CacheConnection.class.getName());
    private static final long MILLI = 1_000_000;
    /** A whole request fits into the kernel's buffer, so that writing one to a silent peer never blocks. */
    private static final int SEND_BUFFER = 128 * 1024;
    /** A cache server that says nothing for so long in the middle of an answer will not end it. */
    private static final int LONGEST_SILENCE_MILLIS = 10_000;

    /** What a connection tells its actor, on its own thread, and what it asks of it, on any. */
    interface Owner {
        /** Whether the server still takes requests, as far as the list says. */
        boolean wanted();

        /** The answer has begun at this time and goes on as a flow. */
        void begun(Attempt attempt, long at, Flow flow);

        void ended(CacheConnection connection, Attempt attempt, Outcome outcome, boolean reusable);

        /** An attempt has been written whole. */
        void sent();

        /** What came is no answer, or came with none asked for. */
        void spoilt();

        void closed(CacheConnection connection);
    }

    private final InetSocketAddress address;
    private final long connectTimeout;
    private final Clock clock;
    private final ReplyReader replies;
    private final Owner owner;
    private final Socket socket = new Socket();
    private Attempt attempt;
    private boolean written;
    private volatile boolean closed;

    CacheConnection(InetSocketAddress address, long connectTimeout, Clock clock, ReplyReader replies,
            Owner owner) {
        this.address = address;
        this.connectTimeout = connectTimeout;
        this.clock = clock;
        this.replies = replies;
        this.owner = owner;
    }

    InetSocketAddress address() {
        return address;
    }

    /** Connects on a thread of its own, sends the attempt and goes on reading. */
    void open(Attempt first) {
        attempt = first;
        Threads.start("cache-" + address.getPort(), () -> run(first));
    }

    /**
     * Sends the next attempt on the idle connection; false if it is dead, and nothing was written then. So it
     * is if bytes wait unread: what came behind an answer would be taken for the next one.
     */
    boolean reuse(Attempt next) {
        // One step with the writing: else a break seen in between would pass for a request never written.
        synchronized (this) {
            if (closed || unread()) {
                return false;
            }
            attempt = next;
            written = false;
            transmit(next);
            return true;
        }
    }

    private boolean unread() {
        try {
            return socket.getInputStream().available() > 0;
        } catch (IOException e) {
            return true;
        }
    }

    /** Ends the connection, and with it whatever is out on it; takes no lock that a writer holds. */
    void close() {
        closed = true;
        Sockets.close(socket);
    }

    private void run(Attempt first) {
        try {
            long now = clock.now();
            long wait = Math.min(connectTimeout, first.until() - now);
            socket.setTcpNoDelay(true);
            socket.setSendBufferSize(SEND_BUFFER);
            socket.connect(address, (int) Math.max(1, wait / MILLI));
            transmit(first);
            read();
        } catch (ProtocolException e) {
            LOG.finer("cache server at " + address + ": " + e.getMessage());
            owner.spoilt();
        } catch (IOException e) {
            LOG.finer("connection to " + address + " ended: " + e.getMessage());
        } finally {
            broken();
            close();
            owner.closed(this);
        }
    }

    private void transmit(Attempt a) {
        synchronized (this) {
            long wait = Math.max(1, (a.until() - clock.now()) / MILLI);
            if (a.over() || !owner.wanted()) {
                // Given up, or the server drains, since it was sent off: it must not reach the cache server.
                close();
                return;
            }
            try {
                Sockets.write(socket.getOutputStream(), a.call().forwarded(wait));
                written = true;
                owner.sent();
            } catch (IOException e) {
                Sockets.close(socket);
            }
        }
    }

    private void read() throws IOException, ProtocolException {
        InputBuffer in = new InputBuffer();
        RespReader reader = new RespReader(RespReader.LONGEST_VALUE);
        while (Sockets.read(socket.getInputStream(), in)) {
            expected();
            LargeAnswer large = LargeAnswer.at(in);
            if (large != null) {
                passOn(large, in);
            }
            for (RespValue v = reader.next(in); v != null; v = reader.next(in)) {
                answered(replies.read(v, clock.now()), in.size() == 0);
                if (in.size() > 0) {
                    throw new ProtocolException("more behind an answer");
                }
            }
        }
    }

    /** Only its connection's thread touches the attempt's answer: nothing else of it can come meanwhile. */
    private void passOn(LargeAnswer large, InputBuffer in) throws IOException, ProtocolException {
        long now = clock.now();
        Flow flow = new Flow();
        Attempt answered;
        synchronized (this) {
            answered = attempt;
        }
        owner.begun(answered, now, flow);
        socket.setSoTimeout(LONGEST_SILENCE_MILLIS);
        try {
            Outcome outcome = large.passOn(socket.getInputStream(), in, replies, flow, now);
            socket.setSoTimeout(0);
            answered(outcome, in.size() == 0);
        } finally {
            flow.breakOff();
        }
    }

    /** Half an answer on an idle connection must not stay there as the beginning of the next one. */
    private synchronized void expected() throws ProtocolException {
        if (attempt == null) {
            throw new ProtocolException("bytes that answer no request");
        }
    }

    private void answered(Outcome outcome, boolean clean) {
        Attempt done;
        synchronized (this) {
            done = attempt;
            attempt = null;
            closed = closed || !clean;
        }
        owner.ended(this, done, outcome, clean);
    }

    /** The connection broke: whether its request may have run depends on its last byte. */
    private void broken() {
        Attempt lost;
        boolean mayHaveRun;
        synchronized (this) {
            lost = attempt;
            mayHaveRun = written;
            attempt = null;
            closed = true;
        }
        if (lost != null) {
            Routing.Ending ending = mayHaveRun ? Routing.Ending.RESET : Routing.Ending.CONNECT_FAILED;
            owner.ended(this, lost, Outcome.of(ending, clock.now()), false);
        }
    }
}
