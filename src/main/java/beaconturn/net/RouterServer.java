package beaconturn.net;

import beaconturn.core.Clock;
import beaconturn.core.Fleet;
import beaconturn.core.Lifecycle;
import beaconturn.core.ListSource;
import beaconturn.core.Message;
import beaconturn.core.ModuleActor;
import beaconturn.core.ModuleHost;
import beaconturn.core.Settings;
import beaconturn.core.Spell;
import beaconturn.decision.Learned;
import beaconturn.decision.Routing;
import beaconturn.protocol.ProtocolException;
import beaconturn.stats.Tally;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.SocketChannel;
import java.util.Set;
import java.util.concurrent.Semaphore;
import java.util.function.Consumer;
import java.util.logging.Level;
import java.util.logging.Logger;

/** One real router: puts the parts together, starts them, and takes them down at the end. */
public final class RouterServer {
    private static final Logger LOG = Logger.getLogger(RouterServer.class.getName());
    private static final long MILLI = 1_000_000;
    /** After a planned stop is announced, new connections still come for up to 0.4 s. */
    private static final long ACCEPT_ON = 550 * MILLI;
    private static final long STEP_MILLIS = 5;
    private static final long SWEEP_MILLIS = 50;
    /** A thread for requests that are out ends when it has waited so long for the next. */
    private static final long KEEP_THREAD = 500 * MILLI;

    /** How the module is hosted and what its mailbox gets; broken in tests to prove what watches over it. */
    interface Hosting {
        /** As it should be. */
        Hosting USUAL = new Hosting() { };

        /** The host that the module's thread runs. */
        default ModuleHost host(RouterConfig config, Clock clock, Fleet fleet, ListSource list) {
            return new ModuleHost(config.settings().routing(), config.seed(), clock, fleet, list);
        }

        /** Where clients, cache servers and discovery post. */
        default Consumer<Message> inbox(Consumer<Message> mailbox) {
            return mailbox;
        }
    }

    private final RouterConfig config;
    private final Clock clock = Clock.system();
    private final Lifecycle lifecycle;
    /** Null where no second address is set. */
    private final Operators operators;
    private final Tally tally;
    private final ModuleActor module;
    private final ClientConnections clients;
    private final ClientPoller poller = new ClientPoller();
    private final ClientConnection.Site site;
    /** Null until the router serves. */
    private volatile Listener listener;
    private final Discovery discovery;
    private final Reloads reloads;
    /** Null where no other process of this router can run beside this one. */
    private final Neighbour neighbour;
    private final Places places;
    private final CacheActors cacheActors;
    private volatile Settings settings;
    private volatile Learned learned;
    /** Null where routers share nothing. */
    private final Agreed agreed;
    /** What the module is under; set by its thread. */
    private volatile Agreed.Force force;
    private volatile boolean beside;
    private volatile RequestParser parser;
    private long switches;
    private final Spell turnedAway = new Spell(LOG, "new client connections are turned away", 1);

    /** Nothing is bound or served before {@link #start}. A reload reads from the source. */
    public RouterServer(RouterConfig config, RouterConfig.Source source, Lifecycle lifecycle)
            throws IOException {
        this(config, source, lifecycle, Hosting.USUAL, null);
    }

    /** A router that agrees with others; {@code agreed} null means that it shares nothing. */
    public RouterServer(RouterConfig config, RouterConfig.Source source, Lifecycle lifecycle, Agreed agreed)
            throws IOException {
        this(config, source, lifecycle, Hosting.USUAL, agreed);
    }

    /** A router whose module may be hosted otherwise, for tests. */
    RouterServer(RouterConfig config, RouterConfig.Source source, Lifecycle lifecycle, Hosting hosting,
            Agreed agreed) throws IOException {
        this.config = config;
        this.agreed = agreed;
        this.lifecycle = lifecycle;
        this.operators = config.control() == null ? null
            : new Operators(config, lifecycle, clock, this::post, this::heldOut);
        this.tally = operators == null ? Tally.NONE : operators.tally();
        this.module = new ModuleActor(
            operators == null && !config.shared() && agreed == null ? null : this::look,
            agreed == null ? null : this::agree);
        this.neighbour = config.shared() ? new Neighbour(config) : null;
        this.beside = neighbour != null && neighbour.beside();
        follow(config.settings());
        Capacity capacity = capacity();
        this.places = new Places(capacity.cacheConnections());
        this.clients = new ClientConnections(capacity.clients(), capacity.easyClients());
        Consumer<Message> inbox = hosting.inbox(module::post);
        this.site = new ClientConnection.Site(() -> parser, clock, lifecycle,
            inbox, poller, new OpenIds(), new Semaphore(capacity.largeRequests()), clients::remove);
        this.discovery = new Discovery(config.discovery(), new ListReader(config.settings()),
            config.known().version(), inbox, agreed == null ? () -> 0 : () -> agreed.due().oldestList(),
            WatchTimes.of(config.seed()));
        this.reloads = new Reloads(source, discovery, config, module::post, this::follow, tally,
            agreed != null);
        Routing.Settings routing = config.settings().routing();
        long idleTime = routing.permissions().connIdle() / 2;
        this.cacheActors = new CacheActors(idleTime);
        CacheFleet fleet = new CacheFleet(new CacheServer.Site(clock, inbox,
            places, new ReplyReader(routing), routing.permissions().connectTimeout(), idleTime, tally,
            cacheActors, new Workers("cache", KEEP_THREAD),
            agreed == null ? () -> true : agreed::mayWrite));
        module.host(hosting.host(config, clock, fleet, discovery));
    }

    private Capacity capacity() {
        return Capacity.of(config.sockets() / (beside ? 2 : 1), config.memoryMb());
    }

    /** On the module's thread, now and then. */
    private void look(ModuleHost host) {
        host.tell(tally);
        if (agreed != null) {
            agreed.sees(host.standings());
        }
        if (beside) {
            learned = host.learned();
        }
    }

    /** On the module's thread, before each step: what was agreed on may have changed, or its lease ended. */
    private void agree(ModuleHost host) {
        Agreed.Force due = agreed.due();
        if (due == force) {
            return;
        }
        Agreed.Force before = force;
        force = due;
        Set<String> was = before == null ? Set.of() : before.out();
        if (!due.settings().equals(settings)) {
            host.handle(new Message.Switched(due.settings().routing(), config.seed() + ++switches));
            follow(due.settings());
        }
        long now = clock.now();
        due.out().stream().filter(s -> !was.contains(s)).forEach(s -> hand(host, s, true, now));
        was.stream().filter(s -> !due.out().contains(s) && (operators == null || !operators.leftOut(s)))
            .forEach(s -> hand(host, s, false, now));
        if (due.oldestList() > (before == null ? 0 : before.oldestList())) {
            discovery.fetch();
        }
        agreed.applied(due);
        LOG.info("acts on " + due.says());
    }

    private static void hand(ModuleHost host, String server, boolean out, long now) {
        host.handle(new Message.ByHand(NameHash.of(server), out, now, true, known -> { }));
    }

    /** Whether all routers have agreed to leave the cache server out. */
    private boolean heldOut(String server) {
        Agreed.Force now = force;
        return now != null && now.out().contains(server);
    }

    private void post(Message message) {
        module.post(message);
    }

    /** Requests are read under these settings from here on. */
    private void follow(Settings next) {
        settings = next;
        next.classNames().forEach(tally::names);
        parser = new RequestParser(next, tally);
    }

    /**
     * Starts all actors and binds the clients' address last: from then on the kernel accepts, and what a
     * client writes to a connection that was accepted is owed an answer in time, however long a router that
     * is still compiling, or has not heard its list, would take to read it.
     */
    public void start() throws IOException {
        if (operators != null) {
            operators.start();
        }
        warmUp();
        if (agreed != null) {
            Threads.start("agreement", agreed);
        }
        cacheActors.start();
        module.begin(new Message.News(config.known()));
        Learned left = neighbour == null ? null : neighbour.left();
        if (left != null) {
            module.begin(new Message.Begun(left));
        }
        Threads.start("module", module);
        discovery.start();
        reloads.start();
        poller.start();
        Threads.start("sweeper", this::sweep);
        if (agreed != null) {
            agreed.awaitFirst();
        }
        lifecycle.advance(Lifecycle.Phase.SERVING);
        if (lifecycle.phase() != Lifecycle.Phase.SERVING) {
            // Told to stop while it started: whom it accepted now nobody would answer.
            return;
        }
        listener = config.shared() ? Listener.inherited(this::accepted)
            : Listener.bound(config.listen(), this::accepted);
        listener.start();
        LOG.info(config.name() + " serves on " + listener.address() + "; at most "
            + capacity().cacheConnections() + " threads for requests that are out at cache servers");
    }

    /** Asks for a new reading of the configuration; never waits, and may come in any phase. */
    public void reload() {
        reloads.ask();
    }

    /** Where operators call, or null where they cannot. */
    public InetSocketAddress control() {
        return operators == null ? null : operators.address();
    }

    /** Where clients connect. */
    public InetSocketAddress address() {
        return listener.address();
    }

    /**
     * Serves on while connections still come, then closes those between requests until all that was taken
     * is answered.
     */
    public void drain() throws InterruptedException {
        if (!lifecycle.advance(Lifecycle.Phase.DRAINING)) {
            return;
        }
        long longest = settings.routing().longestDeadline();
        long began = clock.now();
        // What is shared another process accepts from; else nobody does, and new connections still come.
        long acceptOn = config.shared() ? 0 : ACCEPT_ON;
        Thread.sleep(acceptOn / MILLI);
        if (listener != null) {
            listener.close();
        }
        while (clients.count() > 0 && clock.now() < began + acceptOn + longest) {
            clients.finishQuiet();
            clients.sweep(clock.now());
            Thread.sleep(STEP_MILLIS);
        }
        LOG.info("drained in " + (clock.now() - began) / MILLI + " ms, " + module.open() + " unanswered");
        module.stop();
        if (agreed != null) {
            agreed.leave();
        }
        if (operators != null) {
            operators.close();
        }
        lifecycle.advance(Lifecycle.Phase.STOPPED);
    }

    private void warmUp() {
        try {
            long began = clock.now();
            new WarmUp(config).run();
            LOG.info("warmed up in " + (clock.now() - began) / MILLI + " ms");
        } catch (ProtocolException | RuntimeException e) {
            // A router that is slow at first is better than none.
            LOG.log(Level.WARNING, "warm-up failed", e);
        }
    }

    private void accepted(SocketChannel client) {
        // The one accepting thread must not be held up by clients that keep others at work.
        if (clients.makeRoom(clock.now())) {
            ClientConnection connection = new ClientConnection(client, site);
            clients.add(connection);
            connection.start();
        } else {
            Sockets.close(client);
            turnedAway.note(clock.now());
        }
        turnedAway.check(clock.now());
    }

    /** Beside another process of this router: keeps to its part, and leaves the other what was learned. */
    private void share() {
        beside = neighbour.beside();
        Capacity now = capacity();
        clients.bounds(now.clients(), now.easyClients());
        places.most(now.cacheConnections());
        Learned latest = learned;
        learned = null;
        if (beside && latest != null && lifecycle.phase() == Lifecycle.Phase.SERVING) {
            neighbour.leave(latest);
        }
    }

    private void sweep() {
        Pauses pauses = new Pauses(clock, Pauses::ownProcessorTime);
        try {
            while (lifecycle.phase() != Lifecycle.Phase.STOPPED) {
                String pause = pauses.look();
                if (pause != null) {
                    LOG.warning(pause);
                }
                clients.sweep(clock.now());
                if (neighbour != null) {
                    share();
                }
                Thread.sleep(SWEEP_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
