package beaconturn.rehearsal;

import beaconturn.core.Clock;
import beaconturn.ledger.Account;
import beaconturn.ledger.Entry;
import beaconturn.protocol.InputBuffer;
import beaconturn.protocol.ProtocolException;
import beaconturn.protocol.RespReader;
import beaconturn.protocol.RespValue;
import beaconturn.protocol.RespWriter;
import beaconturn.protocol.Slice;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;

/**
 * One connection of the clients to a router: a thread that asks one request at a time and reads its answer.
 */
final class ClientLine {
    private static final long MILLI = 1_000_000;
    private static final int CONNECT_MILLIS = 1000;
    private static final int STACK_BYTES = 192 * 1024;
    /** How long after its deadline a request's answer is still waited for, to be seen as late. */
    private static final long PATIENCE = 300 * MILLI;
    private final InetSocketAddress router;
    private final Clock clock;
    private final Account account;
    private final Owner owner;
    private final BlockingQueue<Try> next = new LinkedBlockingQueue<>();
    private final InputBuffer in = new InputBuffer();
    private final RespReader reader = new RespReader(RespReader.LONGEST_VALUE);
    private Socket socket;
    private String lastId = "";
    private boolean used;

    /** One try of a planned request, on its way to a router. */
    record Try(Planned planned, int attempt, String id, int router, long patience, String once) { }

    /**
     * How a try ended; {@code kind} is null where no router took it, {@code retryAfter} 0 where none was
     * told.
     */
    record Result(Try asked, Entry.Kind kind, long at, long retryAfter) { }

    /** Who is told how tries end; called on the line's thread. */
    interface Owner {
        void done(ClientLine line, Result result, boolean reusable);

        /** The connection had been closed between requests: the same try goes out once more on a new one. */
        void crossed(Try again);
    }

    ClientLine(InetSocketAddress router, Clock clock, Account account, Owner owner) {
        this.router = router;
        this.clock = clock;
        this.account = account;
        this.owner = owner;
    }

    void start() {
        Thread thread = new Thread(null, this::run, "client", STACK_BYTES);
        thread.setDaemon(true);
        thread.start();
    }

    void ask(Try one) {
        next.add(one);
    }

    /** Ends it once it has looked for answers that nobody asked for. */
    void finish() {
        next.add(new Try(null, 0, "", 0, 0, null));
    }

    private void run() {
        try {
            for (Try one = next.take(); one.planned() != null; one = next.take()) {
                if (!exchange(one)) {
                    return;
                }
            }
            strays();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            close();
        }
    }

    /** False if the connection is over. */
    private boolean exchange(Try one) {
        boolean reused = used;
        try {
            if (socket == null) {
                socket = new Socket();
                socket.setTcpNoDelay(true);
                socket.connect(router, CONNECT_MILLIS);
            }
            strays();
        } catch (IOException e) {
            owner.done(this, new Result(one, null, clock.now(), 0), false);
            return false;
        }
        used = true;
        lastId = one.id();
        long asked;
        try {
            socket.getOutputStream().write(bytes(one));
            asked = clock.now();
            account.add(new Entry.Asked(asked, one.id(), one.planned().type().name(), one.planned().key(),
                one.once(), one.router(), asked + one.patience()));
        } catch (IOException e) {
            again(one, reused);
            return false;
        }
        return answer(one, asked, reused);
    }

    private void again(Try one, boolean reused) {
        if (reused) {
            crossed(one);
        } else {
            owner.done(this, new Result(one, null, clock.now(), 0), false);
        }
    }

    private boolean answer(Try one, long asked, boolean reused) {
        Entry.Kind kind;
        RespValue value = null;
        try {
            value = read(asked + one.patience() + PATIENCE);
            kind = value == null ? in.size() > 0 ? Entry.Kind.CUT : Entry.Kind.BROKEN : kind(value);
        } catch (SocketTimeoutException e) {
            kind = Entry.Kind.SILENCE;
        } catch (IOException e) {
            kind = in.size() > 0 ? Entry.Kind.CUT : Entry.Kind.BROKEN;
        } catch (ProtocolException e) {
            kind = Entry.Kind.CUT;
        }
        if (kind == Entry.Kind.BROKEN && reused) {
            crossed(one);
            return false;
        }
        long at = clock.now();
        account.add(new Entry.Answered(at, one.id(), kind, digest(value)));
        boolean keep = value != null && (kind != Entry.Kind.FAILED || value instanceof RespValue.Failure);
        owner.done(this, new Result(one, kind, at, retryAfter(value)), keep);
        return keep;
    }

    private void crossed(Try one) {
        account.add(new Entry.Crossed(clock.now(), one.id()));
        owner.crossed(one);
    }

    private RespValue read(long until) throws IOException, ProtocolException {
        RespValue value = reader.next(in);
        InputStream from = socket.getInputStream();
        while (value == null) {
            long left = (until - clock.now()) / MILLI;
            if (left <= 0) {
                throw new SocketTimeoutException();
            }
            socket.setSoTimeout((int) left);
            int room = in.room();
            int got = from.read(in.array(), in.end(), room);
            if (got < 0) {
                return null;
            }
            in.filled(got);
            value = reader.next(in);
        }
        return value;
    }

    /** Whatever has come since the last answer: each whole value is an answer too many. */
    private void strays() {
        try {
            while (socket != null && (in.size() > 0 || socket.getInputStream().available() > 0)) {
                RespValue value = read(clock.now() + MILLI);
                if (value == null) {
                    return;
                }
                account.add(new Entry.Answered(clock.now(), lastId, kind(value), digest(value)));
            }
        } catch (IOException | ProtocolException e) {
            account.add(new Entry.Answered(clock.now(), lastId, Entry.Kind.CUT, 0));
            close();
        }
    }

    private static Entry.Kind kind(RespValue value) {
        if (value instanceof RespValue.Bulk bulk && bulk.bytes() != null) {
            return Entry.Kind.SERVED;
        }
        boolean busy = value instanceof RespValue.Failure failure
            && failure.text().toString().split(" ", 2)[0].equals("BUSY");
        return busy ? Entry.Kind.REFUSED : Entry.Kind.FAILED;
    }

    private static long digest(RespValue value) {
        return value instanceof RespValue.Bulk bulk && bulk.bytes() != null
            ? Account.digest(bulk.bytes().copy()) : 0;
    }

    private static long retryAfter(RespValue value) {
        if (value instanceof RespValue.Failure failure) {
            String[] words = failure.text().toString().split(" ");
            if (words.length == 2 && words[0].equals("BUSY") && words[1].matches("[0-9]{1,9}")) {
                return Long.parseLong(words[1]) * MILLI;
            }
        }
        return 0;
    }

    private static byte[] bytes(Try one) {
        Scenario.Type type = one.planned().type();
        boolean write = type.effect() != Scenario.Effect.SAFE;
        StringBuilder attributes = new StringBuilder("c=").append(type.name()).append(",d=")
            .append(one.patience() / MILLI);
        if (one.once() != null) {
            attributes.append(",k=").append(one.once());
        }
        if (one.attempt() > 0) {
            attributes.append(",r=1");
        }
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        add(out, RespWriter.listOf(write ? 5 : 4));
        add(out, RespWriter.bulk(write ? "C.SET" : "C.GET"));
        add(out, RespWriter.bulk(one.planned().key()));
        add(out, RespWriter.bulk(one.id()));
        add(out, RespWriter.bulk(attributes.toString()));
        if (write) {
            add(out, RespWriter.bulk("v".repeat(type.size())));
        }
        return out.toByteArray();
    }

    private static void add(ByteArrayOutputStream out, Slice piece) {
        out.write(piece.array(), piece.from(), piece.length());
    }

    private void close() {
        if (socket != null) {
            try {
                socket.close();
            } catch (IOException e) {
                socket = null;
            }
        }
    }
}
