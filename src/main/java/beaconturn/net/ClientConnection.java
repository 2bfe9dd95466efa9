package beaconturn.net;

import beaconturn.core.Clock;
import beaconturn.core.Lifecycle;
import beaconturn.core.Mailbox;
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
 * One client: a thread that reads commands, and an actor that writes the answers in their order. Reading
 * goes on while requests are out, so that a client's close is seen at once.
 */
final class ClientConnection {
    private static final Logger LOG = Logger.getLogger(ClientConnection.class.getName());
    private static final int MOST_PIPELINED = 256;
    private static final int LONGEST_VALUE = 1 << 16;
    private static final int LINGER_MILLIS = 250;
    private static final long WRITER_IDLE = 2_000_000_000;
    private static final long NEVER = Long.MAX_VALUE;
    /** In the place of an answer: nothing more is written. */
    private static final Slice END = Slice.of("");

    /** What a connection needs of the router round it. */
    record Site(RequestParser parser, Clock clock, Lifecycle lifecycle, Consumer<Message> module,
            Semaphore largeRequests, Consumer<ClientConnection> whenClosed) { }

    private final Socket socket;
    private final Site site;
    private final Mailbox<Reply> replies = new Mailbox<>(MOST_PIPELINED);
    private final List<ClientCall> calls = new ArrayList<>();
    private volatile long writingSince = NEVER;
    private volatile boolean halfRead;
    private volatile long lastRead = NEVER;
    private volatile boolean largeInHand;
    // Guarded by this:
    private boolean writer;
    private int large;
    private int unanswered;
    private long quietSince;
    private long closingSince = NEVER;

    ClientConnection(Socket socket, Site site) {
        this.socket = socket;
        this.site = site;
        this.quietSince = site.clock().now();
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
    synchronized long quietSince() {
        return unanswered == 0 && !halfRead && closingSince == NEVER ? quietSince : NEVER;
    }

    /** Since when an answer is being written, or {@code Long.MAX_VALUE} if none is. */
    long writingSince() {
        return writingSince;
    }

    /** Since when half a command waits for the rest, or {@code Long.MAX_VALUE} if none does. */
    long halfReadSince() {
        return halfRead ? lastRead : NEVER;
    }

    /** Since when the client is awaited to close its end, or {@code Long.MAX_VALUE} if it is not. */
    synchronized long closingSince() {
        return closingSince;
    }

    /**
     * Ends the connection if no request is out. Only its sending: closing all of it would reset it under a
     * request that crosses, and with it the last answer on its way.
     */
    void finishIfQuiet() {
        synchronized (this) {
            if (quietSince() == NEVER) {
                return;
            }
            closingSince = site.clock().now();
        }
        try {
            socket.shutdownOutput();
        } catch (IOException e) {
            close();
        }
    }

    /** Closes at once, whatever is out. */
    void close() {
        Sockets.close(socket);
    }

    private void read() {
        try {
            InputBuffer in = new InputBuffer();
            RespReader reader = new RespReader(LONGEST_VALUE);
            while (Sockets.read(socket.getInputStream(), in)) {
                halfRead = true;
                lastRead = site.clock().now();
                for (RespValue v = reader.next(in); v != null; v = reader.next(in)) {
                    command(v);
                }
                halfRead = in.size() > 0;
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

    private void command(RespValue value) throws ProtocolException, InterruptedException {
        if (!(value instanceof RespValue.Array array) || array.items() == null || array.items().isEmpty()
                || !(array.items().get(0) instanceof RespValue.Bulk name) || name.bytes() == null) {
            throw new ProtocolException("expected a command");
        }
        if (!RequestParser.isRequest(name.bytes())) {
            Reply reply = new Reply();
            reply.fill(other(name.bytes().toString().toUpperCase(Locale.ROOT)));
            inOrder(reply);
            return;
        }
        ClientCall call = site.parser().parse(array.items(), site.clock().now());
        largeInHand = false;
        if (inOrder(call)) {
            calls.removeIf(Reply::isFilled);
            calls.add(call);
            site.module().accept(new Message.Arrived(call));
        }
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

    private Slice other(String name) {
        return switch (name) {
            case "PING" -> site.lifecycle().ready() ? RespWriter.simple("PONG")
                : RespWriter.failure("ERR starting");
            case "CLIENT", "SELECT" -> RespWriter.simple("OK");
            default -> RespWriter.failure("ERR unknown command");
        };
    }

    /** Takes the next place in the order of answers; false if the connection takes no more requests. */
    private boolean inOrder(Reply reply) throws InterruptedException {
        synchronized (this) {
            if (closingSince != NEVER) {
                return false;
            }
            unanswered++;
        }
        replies.put(reply);
        ensureWriter();
        return true;
    }

    /** The writer's thread lives while there is something to write and a little longer. */
    private synchronized void ensureWriter() {
        if (!writer) {
            Threads.start("client-write", this::write);
            writer = true;
        }
    }

    /** Malformed input: what came before it is answered, then one error, then the connection ends. */
    private void malformed(String reason) {
        try {
            Reply error = new Reply();
            error.fill(RespWriter.failure("ERR " + reason));
            if (inOrder(error)) {
                Reply last = new Reply();
                last.fill(END);
                replies.put(last);
            }
            discard();
        } catch (IOException e) {
            LOG.finer("client connection ended: " + e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Reads on without looking, until the client closes: unread bytes would reset the error on its way. */
    private void discard() throws IOException {
        socket.setSoTimeout(LINGER_MILLIS);
        byte[] ignored = new byte[1024];
        boolean more = true;
        while (more && site.clock().now() < longestLinger()) {
            try {
                more = socket.getInputStream().read(ignored) >= 0;
            } catch (SocketTimeoutException e) {
                more = true;
            }
        }
    }

    private synchronized long longestLinger() {
        return closingSince == NEVER ? NEVER : closingSince + LINGER_MILLIS * 1_000_000L;
    }

    private void end() {
        Reply last = new Reply();
        last.fill(END);
        if (!replies.offer(last)) {
            LOG.finer("the writer of a closed connection ends at its next answer");
        }
    }

    /** The connection is over: nobody waits for what it still had out. */
    private void leave() {
        close();
        for (ClientCall call : calls) {
            if (!call.isFilled()) {
                site.module().accept(new Message.Left(call));
                call.fill(END);
            }
        }
        end();
        giveBackLarge();
        site.whenClosed().accept(this);
    }

    private void write() {
        try {
            for (Slice next = nextAnswer(); next != null; next = nextAnswer()) {
                if (next == END) {
                    endOutput();
                    return;
                }
                writingSince = site.clock().now();
                Sockets.write(socket.getOutputStream(), List.of(next));
                writingSince = NEVER;
                answered();
            }
        } catch (IOException e) {
            // The reader sees the same end and tells the module; nothing can be said to this client.
            close();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            close();
        } finally {
            writingSince = NEVER;
        }
    }

    /** The next answer in order, waiting for it; null if the writer may go, as nothing is out. */
    private Slice nextAnswer() throws InterruptedException {
        while (true) {
            Reply next = replies.poll(WRITER_IDLE);
            if (next != null) {
                return next.await();
            }
            synchronized (this) {
                if (replies.isEmpty()) {
                    writer = false;
                    return null;
                }
            }
        }
    }

    private void endOutput() throws IOException {
        synchronized (this) {
            closingSince = Math.min(closingSince, site.clock().now());
        }
        socket.shutdownOutput();
    }

    private synchronized void answered() {
        unanswered--;
        quietSince = site.clock().now();
        if (unanswered == 0 && !largeInHand) {
            giveBackLarge();
        }
    }
}
