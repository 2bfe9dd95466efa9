package beaconturn.net;

import beaconturn.core.Clock;
import beaconturn.core.Lifecycle;
import beaconturn.core.Message;
import beaconturn.protocol.InputBuffer;
import beaconturn.protocol.ProtocolException;
import beaconturn.protocol.RespReader;
import beaconturn.protocol.RespValue;
import beaconturn.protocol.RespWriter;
import beaconturn.protocol.Slice;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Semaphore;
import java.util.function.Consumer;
import java.util.logging.Logger;

/**
 * One client: a thread that reads commands and hands the requests to the module. Reading goes on while
 * requests are out, so that a client's close is seen at once.
 */
final class ClientConnection {
    private static final Logger LOG = Logger.getLogger(ClientConnection.class.getName());
    /** How long a client may take to close its end of a connection that the router has ended. */
    static final int LINGER_MILLIS = 250;
    /** How much of what follows malformed input is read, so that the error before it can arrive. */
    private static final int MOST_DISCARDED = 32 * 1024;
    private static final long NEVER = Long.MAX_VALUE;

    /** What a connection needs of the router round it. */
    record Site(RequestParser parser, Clock clock, Lifecycle lifecycle, Consumer<Message> module,
            Writers writers, OpenIds ids, Semaphore largeRequests, Consumer<ClientConnection> whenClosed) { }

    private final Socket socket;
    private final Site site;
    private final ClientWriter writer;
    private final List<ClientCall> calls = new ArrayList<>();
    private final long since;
    private volatile boolean spoke;
    private volatile long halfReadSince = NEVER;
    private volatile boolean largeInHand;
    private int large;

    ClientConnection(Socket socket, Site site) {
        this.socket = socket;
        this.site = site;
        this.since = site.clock().now();
        this.writer = new ClientWriter(socket, site.clock(), site.writers(), this::quiet);
    }

    void start() {
        try {
            Threads.start("client-read", this::read);
        } catch (OutOfMemoryError e) {
            LOG.warning("no thread for a new client connection, which is closed");
            leave();
        }
    }

    /** Since when no request is out and none half read, or {@code Long.MAX_VALUE} if one is. */
    long quietSince() {
        return halfReadSince == NEVER ? writer.quietSince() : NEVER;
    }

    /**
     * Since when half a command waits for the rest, or {@code Long.MAX_VALUE} if none does. It counts from
     * the first byte: a client that sends one now and then would else hold its place for ever.
     */
    long halfReadSince() {
        return halfReadSince;
    }

    /** Since when the client has not sent a single command, or {@code Long.MAX_VALUE} if it has. */
    long silentSince() {
        return spoke || closingSince() != NEVER ? NEVER : since;
    }

    /** Since when an answer is being written, or {@code Long.MAX_VALUE} if none is. */
    long writingSince() {
        return writer.writingSince();
    }

    /** Since when the client is awaited to close its end, or {@code Long.MAX_VALUE} if it is not. */
    long closingSince() {
        return writer.closingSince();
    }

    /** Ends the connection if it is between requests. */
    void finishIfQuiet() {
        if (halfReadSince == NEVER) {
            writer.finishIfQuiet();
        }
    }

    /** Closes the connection if no answer is owed on it, half a command or not; false if one is. */
    boolean closeIfQuiet() {
        boolean quiet = writer.finishIfQuiet();
        if (quiet) {
            close();
            site.whenClosed().accept(this);
        }
        return quiet;
    }

    /** Closes at once, whatever is out. */
    void close() {
        Sockets.close(socket);
    }

    private void read() {
        try {
            InputBuffer in = new InputBuffer();
            RespReader reader = new RespReader(RespReader.LONGEST_VALUE);
            while (Sockets.read(socket.getInputStream(), in)) {
                halfReadSince = Math.min(halfReadSince, site.clock().now());
                for (RespValue v = reader.next(in); v != null; v = reader.next(in)) {
                    command(v);
                    halfReadSince = in.size() > 0 ? site.clock().now() : NEVER;
                }
                if (in.large() && !largeInHand) {
                    takeLarge();
                }
            }
        } catch (ProtocolException e) {
            malformed(e.getMessage());
        } catch (IOException e) {
            LOG.finer("client connection ended: " + e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            leave();
        }
    }

    private void command(RespValue value) throws ProtocolException, InterruptedException, IOException {
        if (!(value instanceof RespValue.Array array) || array.items() == null || array.items().isEmpty()
                || !(array.items().get(0) instanceof RespValue.Bulk name) || name.bytes() == null) {
            throw new ProtocolException("expected a command");
        }
        if (!RequestParser.isRequest(name.bytes())) {
            writer.answer(other(name.bytes().toString().toUpperCase(Locale.ROOT)));
            spoke = true;
            return;
        }
        ClientCall call = site.parser().parse(array.items(), site.clock().now(), site.ids());
        largeInHand = false;
        if (writer.take(call)) {
            spoke = true;
            synchronized (calls) {
                calls.removeIf(Reply::isFilled);
                calls.add(call);
            }
            site.module().accept(new Message.Arrived(call));
        } else {
            call.fill(ClientWriter.END);
        }
    }

    private Slice other(String name) {
        return switch (name) {
            case "PING" -> site.lifecycle().ready() ? RespWriter.simple("PONG")
                : RespWriter.failure("ERR starting");
            case "CLIENT", "SELECT" -> RespWriter.simple("OK");
            default -> RespWriter.failure("ERR unknown command");
        };
    }

    /** Large requests are held in memory till they are answered: so many at once, the others wait unread. */
    private void takeLarge() throws InterruptedException {
        site.largeRequests().acquire();
        largeInHand = true;
        synchronized (this) {
            large++;
        }
    }

    private synchronized void giveBackLarge() {
        site.largeRequests().release(large);
        large = 0;
    }

    /** All is answered: nothing of it is kept while the connection is idle. */
    private void quiet() {
        synchronized (calls) {
            calls.removeIf(Reply::isFilled);
        }
        if (!largeInHand) {
            giveBackLarge();
        }
    }

    /** Malformed input: what came before it is answered, then one error, then the connection ends. */
    private void malformed(String reason) {
        try {
            writer.answer(RespWriter.failure("ERR " + reason));
            writer.finish();
            discard();
        } catch (IOException e) {
            LOG.finer("client connection ended: " + e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Reads on a little without looking: unread bytes would reset the error on its way. Not to the end, which
     * clients that send without end or 60 MB don't reach: they would have the processor to themselves.
     */
    private void discard() throws IOException {
        socket.setSoTimeout(LINGER_MILLIS);
        byte[] ignored = new byte[MOST_DISCARDED / 4];
        int got = 0;
        for (int all = 0; got >= 0 && all < MOST_DISCARDED; all += got) {
            try {
                got = socket.getInputStream().read(ignored);
            } catch (SocketTimeoutException e) {
                return;
            }
        }
    }

    /** The connection is over: nobody waits for what it still had out. */
    private void leave() {
        close();
        List<ClientCall> left;
        synchronized (calls) {
            left = List.copyOf(calls);
        }
        for (ClientCall call : left) {
            if (!call.isFilled()) {
                site.module().accept(new Message.Left(call));
                call.fill(ClientWriter.END);
            }
        }
        writer.abandon();
        giveBackLarge();
        site.whenClosed().accept(this);
    }
}
