package beaconturn.net;

import beaconturn.core.Attempt;
import beaconturn.core.Clock;
import beaconturn.core.Mailbox;
import beaconturn.core.Message;
import beaconturn.core.Outcome;
import beaconturn.core.Spell;
import beaconturn.decision.Routing;
import beaconturn.stats.Tally;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.logging.Level;
import java.util.logging.Logger;

/** One cache server: an actor that owns the connections to it. Its thread never waits for the peer. */
final class CacheServer {
    private static final Logger LOG = Logger.getLogger(CacheServer.class.getName());
    private static final int MOST_MESSAGES = 4096;
    /** What an answer brings behind itself has come by then: a connection is not used again sooner. */
    private static final long SETTLED = 5_000_000;

    /** What the actor needs of the router round it. */
    record Site(Clock clock, Consumer<Message> module, Places places, ReplyReader replies,
            long connectTimeout, long idleTime, Tally tally) { }

    private sealed interface Task {
        record Send(Attempt attempt) implements Task { }

        record Abort(Attempt attempt) implements Task { }

        record Ended(CacheConnection connection, Attempt attempt, Outcome outcome, boolean reusable)
            implements Task { }

        record Spoilt() implements Task { }

        record Closed(CacheConnection connection) implements Task { }

        record Dial(InetSocketAddress address) implements Task { }

        record CloseIdle() implements Task { }

        record Retire() implements Task { }
    }

    private record Idle(CacheConnection connection, long since) { }

    private final Site site;
    private final String host;
    private final Mailbox<Task> mailbox = new Mailbox<>(MOST_MESSAGES);
    private final Map<Attempt, CacheConnection> out = new ConcurrentHashMap<>();
    private final Deque<Idle> idle = new ArrayDeque<>();
    private final CacheConnection.Owner owner = new Reports();
    private final Spell unanswered;
    private final Spell spoilt;
    private InetSocketAddress dial;
    private volatile int connections;
    private volatile int begun;
    private volatile boolean wanted = true;
    private int posted;
    private boolean retired;

    CacheServer(Site site, String host, InetSocketAddress dial) {
        this.site = site;
        this.host = host;
        this.dial = dial;
        this.unanswered = new Spell(LOG, "cache server " + host + " leaves attempts unanswered", 3);
        this.spoilt = new Spell(LOG, "cache server " + host + " sends what cannot be read", 1);
    }

    void start() {
        Threads.start("server-" + host, this::run);
    }

    /** Never waits: the module's thread calls it. Half of the mailbox is kept for what must not be lost. */
    boolean send(Attempt attempt) {
        boolean taken = mailbox.offerLeaving(MOST_MESSAGES / 2, new Task.Send(attempt));
        posted += taken ? 1 : 0;
        return taken;
    }

    /**
     * Ends the attempt's connection before it returns, so that a copy sent elsewhere next never meets it;
     * closing a socket does not wait. An attempt that is not begun yet will not be, as it is over.
     */
    void abort(Attempt attempt) {
        CacheConnection used = out.get(attempt);
        if (used != null) {
            used.close();
        }
        tell(new Task.Abort(attempt));
    }

    /**
     * Whether the server takes new requests; if not, a send that still waits here or for its connection ends
     * as never run. Any thread may call it.
     */
    void wanted(boolean yes) {
        wanted = yes;
    }

    void closeIdle() {
        tell(new Task.CloseIdle());
    }

    void dial(InetSocketAddress address) {
        tell(new Task.Dial(address));
    }

    /**
     * Whether no connection is open and no send waits to be begun: an actor dropped before that could not be
     * told any more that the attempt is given up. Asked by the thread that sends.
     */
    boolean quiet() {
        return begun == posted && connections == 0;
    }

    /** Ends the actor once nothing is out any more. */
    void retire() {
        tell(new Task.Retire());
    }

    private void tell(Task task) {
        if (!mailbox.offer(task)) {
            LOG.severe(host + ": mailbox full, lost " + task);
        }
    }

    private void run() {
        try {
            while (!(retired && connections == 0)) {
                Task task = mailbox.poll(site.idleTime());
                try {
                    handle(task);
                    dropOld();
                    unanswered.check(site.clock().now());
                    spoilt.check(site.clock().now());
                } catch (RuntimeException | Error e) {
                    LOG.log(Level.SEVERE, host + ": actor failed on a message and goes on", e);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void handle(Task task) {
        if (task instanceof Task.Send send) {
            try {
                begin(send.attempt());
            } finally {
                begun = begun + 1;
            }
        } else if (task instanceof Task.Abort abort) {
            out.remove(abort.attempt());
            if (site.clock().now() >= abort.attempt().until()) {
                unanswered.note(site.clock().now());
            }
        } else if (task instanceof Task.Ended ended) {
            settle(ended);
        } else if (task instanceof Task.Spoilt) {
            spoilt.note(site.clock().now());
        } else if (task instanceof Task.Closed closed) {
            idle.removeIf(i -> i.connection() == closed.connection());
            connections--;
            site.places().release();
        } else if (task instanceof Task.Dial changed) {
            if (!changed.address().equals(dial)) {
                LOG.info(host + ": address changes from " + dial + " to " + changed.address());
                dial = changed.address();
                dropIdle();
            }
        } else if (task instanceof Task.CloseIdle) {
            dropIdle();
        } else if (task instanceof Task.Retire) {
            retired = true;
            dropIdle();
        }
    }

    /** Of the settled connections the one used last goes first, so that those too many grow old and close. */
    private void begin(Attempt attempt) {
        if (attempt.over()) {
            return;
        }
        if (!wanted) {
            unreachable(attempt);
            return;
        }
        dropOld();
        long settled = site.clock().now() - SETTLED;
        for (Iterator<Idle> all = idle.iterator(); all.hasNext();) {
            Idle next = all.next();
            if (next.since() > settled) {
                continue;
            }
            all.remove();
            out.put(attempt, next.connection());
            if (next.connection().reuse(attempt)) {
                return;
            }
            out.remove(attempt);
            next.connection().close();
        }
        if (!site.places().tryAcquire()) {
            unreachable(attempt);
            return;
        }
        CacheConnection fresh = new CacheConnection(dial, site.connectTimeout(), site.clock(),
            site.replies(), owner);
        out.put(attempt, fresh);
        try {
            fresh.open(attempt);
            connections++;
        } catch (OutOfMemoryError e) {
            // No thread could be had for it: nothing was written, and the place is free again.
            LOG.warning(host + ": no thread for a new connection");
            out.remove(attempt);
            site.places().release();
            unreachable(attempt);
        }
    }

    private void settle(Task.Ended ended) {
        boolean wanted = out.remove(ended.attempt()) != null;
        Routing.Ending ending = ended.outcome().ending();
        boolean broke = ending == Routing.Ending.CONNECT_FAILED || ending == Routing.Ending.RESET;
        if (wanted && broke) {
            unanswered.note(site.clock().now());
        } else if (!broke) {
            unanswered.end();
        }
        CacheConnection used = ended.connection();
        if (ended.reusable() && wanted && !retired && used.address().equals(dial)) {
            idle.push(new Idle(used, ended.outcome().at()));
        } else {
            used.close();
        }
    }

    private void dropOld() {
        long oldest = site.clock().now() - site.idleTime();
        while (!idle.isEmpty() && idle.peekLast().since() < oldest) {
            idle.pollLast().connection().close();
        }
    }

    private void dropIdle() {
        idle.forEach(i -> i.connection().close());
        idle.clear();
    }

    private void unreachable(Attempt attempt) {
        site.module().accept(new Message.Ended(attempt,
            Outcome.of(Routing.Ending.CONNECT_FAILED, site.clock().now())));
    }

    /** Runs on the threads of the connections. */
    private final class Reports implements CacheConnection.Owner {
        @Override
        public boolean wanted() {
            return wanted;
        }

        @Override
        public void ended(CacheConnection connection, Attempt attempt, Outcome outcome, boolean reusable) {
            // The pool first: what the module sends next finds the connection idle.
            post(new Task.Ended(connection, attempt, outcome, reusable));
            site.module().accept(new Message.Ended(attempt, outcome));
        }

        @Override
        public void begun(Attempt attempt, long at, Flow flow) {
            site.module().accept(new Message.FirstBytes(attempt, at, flow));
        }

        @Override
        public void sent() {
            site.tally().sent();
        }

        @Override
        public void spoilt() {
            post(new Task.Spoilt());
        }

        @Override
        public void closed(CacheConnection connection) {
            post(new Task.Closed(connection));
        }

        private void post(Task task) {
            try {
                mailbox.put(task);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
