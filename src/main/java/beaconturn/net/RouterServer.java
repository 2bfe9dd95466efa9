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
    private final Listener listener;
    private final Discovery discovery;
    private final Reloads reloads;
    /** Null where no other process of this router can run beside this one. */
    private final Neighbour neighbour;
    private final Places places;
    private volatile Settings settings;
    private volatile Learned learned;
    private volatile boolean beside;
    private volatile RequestParser parser;
    private final Spell turnedAway = new Spell(LOG, "new client connections are turned away", 1);

    /** Binds the address; nothing is served before {@link #start}. A reload reads from the source. */
    public RouterServer(RouterConfig config, RouterConfig.Source source, Lifecycle lifecycle)
            throws IOException {
        this(config, source, lifecycle, Hosting.USUAL);
    }

    /** A router whose module may be hosted otherwise, for tests. */
    RouterServer(RouterConfig config, RouterConfig.Source source, Lifecycle lifecycle, Hosting hosting)
            throws IOException {
        this.config = config;
        this.lifecycle = lifecycle;
        this.operators = config.control() == null ? null
            : new Operators(config, lifecycle, clock, this::post);
        this.tally = operators == null ? Tally.NONE : operators.tally();
        this.module = new ModuleActor(operators == null && !config.shared() ? null : this::look);
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
            config.known().version(), inbox);
        this.reloads = new Reloads(source, discovery, config, module::post, this::follow, tally);
        Routing.Settings routing = config.settings().routing();
        CacheFleet fleet = new CacheFleet(new CacheServer.Site(clock, inbox,
            places, new ReplyReader(routing),
            routing.permissions().connectTimeout(), routing.permissions().connIdle() / 2, tally));
        module.host(hosting.host(config, clock, fleet, discovery));
        this.listener = config.shared() ? Listener.inherited(this::accepted)
            : Listener.bound(config.listen(), this::accepted);
    }

    private Capacity capacity() {
        return Capacity.of(config.sockets() / (beside ? 2 : 1), config.memoryMb());
    }

    /** On the module's thread, now and then. */
    private void look(ModuleHost host) {
        host.tell(tally);
        if (beside) {
            learned = host.learned();
        }
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

    /** Starts all actors; clients are told that the router is ready. */
    public void start() {
        if (operators != null) {
            operators.start();
        }
        warmUp();
        Threads.start("module", module);
        Learned left = neighbour == null ? null : neighbour.left();
        if (left != null) {
            module.post(new Message.Begun(left));
        }
        module.post(new Message.News(config.known()));
        discovery.start();
        reloads.start();
        poller.start();
        listener.start();
        Threads.start("sweeper", this::sweep);
        lifecycle.advance(Lifecycle.Phase.SERVING);
        LOG.info(config.name() + " serves on " + listener.address());
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
        listener.close();
        while (clients.count() > 0 && clock.now() < began + acceptOn + longest) {
            clients.finishQuiet();
            clients.sweep(clock.now());
            Thread.sleep(STEP_MILLIS);
        }
        LOG.info("drained in " + (clock.now() - began) / MILLI + " ms, " + module.open() + " unanswered");
        module.stop();
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
