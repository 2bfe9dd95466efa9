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
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

/**
 * One client: a thread that reads commands, and an actor that writes the answers in their order. Reading
 * goes on while requests are out, so that a client's close is seen at once.
 */
final class ClientConnection {
    private static final int MOST_PIPELINED = 64;
    private static final int LONGEST_VALUE = 1 << 16;
    private static final Slice NO_MORE = Slice.of("");

    private final Socket socket;
    private final RequestParser parser;
    private final Clock clock;
    private final Lifecycle lifecycle;
    private final Consumer<Message> module;
    private final Consumer<ClientConnection> whenClosed;
    private final Mailbox<Reply> replies = new Mailbox<>(MOST_PIPELINED);
    private final AtomicInteger unanswered = new AtomicInteger();
    private final List<ClientCall> open = new ArrayList<>();
    private volatile boolean halfRead;
    private volatile long quietSince;
    private volatile long writingSince;

    ClientConnection(Socket socket, RequestParser parser, Clock clock, Lifecycle lifecycle,
            Consumer<Message> module, Consumer<ClientConnection> whenClosed) {
        this.socket = socket;
        this.parser = parser;
        this.clock = clock;
        this.lifecycle = lifecycle;
        this.module = module;
        this.whenClosed = whenClosed;
        this.quietSince = clock.now();
    }

    void start() {
        Threads.start("client-read", this::read);
        Threads.start("client-write", this::write);
    }

    /** Since when no request is out and none half read; or {@code Long.MAX_VALUE} if one is. */
    long quietSince() {
        return unanswered.get() == 0 && !halfRead ? quietSince : Long.MAX_VALUE;
    }

    /** Since when an answer is being written, or {@code Long.MAX_VALUE} if none is. */
    long writingSince() {
        long since = writingSince;
        return since == 0 ? Long.MAX_VALUE : since;
    }

    void close() {
        Sockets.close(socket);
    }

    private void read() {
        try {
            InputBuffer in = new InputBuffer();
            RespReader reader = new RespReader(LONGEST_VALUE);
            while (Sockets.read(socket.getInputStream(), in)) {
                for (RespValue v = reader.next(in); v != null; v = reader.next(in)) {
                    command(v);
                }
                halfRead = in.size() > 0;
            }
            leave();
        } catch (ProtocolException e) {
            refuse(e.getMessage());
        } catch (IOException e) {
            leave();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            leave();
        }
    }

    private void command(RespValue value) throws ProtocolException, InterruptedException {
        if (!(value instanceof RespValue.Array array) || array.items() == null || array.items().isEmpty()
                || !(array.items().get(0) instanceof RespValue.Bulk name) || name.bytes() == null) {
            throw new ProtocolException("expected a command");
        }
        if (!RequestParser.isRequest(name.bytes())) {
            inOrder(new Reply(), other(name.bytes().toString().toUpperCase(Locale.ROOT)));
            return;
        }
        ClientCall call = parser.parse(array.items(), clock.now());
        synchronized (open) {
            open.removeIf(Reply::isFilled);
            open.add(call);
        }
        inOrder(call, null);
        module.accept(new Message.Arrived(call));
    }

    private Slice other(String name) {
        return switch (name) {
            case "PING" -> lifecycle.ready() ? RespWriter.simple("PONG") : RespWriter.failure("ERR starting");
            case "CLIENT", "SELECT" -> RespWriter.simple("OK");
            default -> RespWriter.failure("ERR unknown command");
        };
    }

    private void inOrder(Reply reply, Slice answer) throws InterruptedException {
        unanswered.incrementAndGet();
        if (answer != null) {
            reply.fill(answer);
        }
        replies.put(reply);
    }

    /** Malformed input: what came before it is answered, then one error, then the connection ends. */
    private void refuse(String reason) {
        try {
            inOrder(new Reply(), RespWriter.failure("ERR " + reason));
            inOrder(new Reply(), NO_MORE);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            leave();
        }
    }

    /** The client has gone: nobody waits for what it still had out. */
    private void leave() {
        close();
        List<ClientCall> left;
        synchronized (open) {
            left = List.copyOf(open);
        }
        for (ClientCall call : left) {
            if (!call.isFilled()) {
                module.accept(new Message.Left(call));
                call.fill(NO_MORE);
            }
        }
        Reply last = new Reply();
        last.fill(NO_MORE);
        if (!replies.offer(last)) {
            // The mailbox is full of answers to a closed socket; the first of them ends the writer.
            return;
        }
    }

    private void write() {
        try {
            for (Slice next = replies.take().await(); next != NO_MORE; next = replies.take().await()) {
                writingSince = clock.now();
                socket.getOutputStream().write(next.array(), next.from(), next.length());
                writingSince = 0;
                quietSince = clock.now();
                unanswered.decrementAndGet();
            }
        } catch (IOException e) {
            // The reader sees the same end and tells the module; nothing can be said to this client.
            writingSince = 0;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            close();
            whenClosed.accept(this);
        }
    }
}
