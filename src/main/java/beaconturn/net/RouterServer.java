package beaconturn.net;

import beaconturn.core.CacheServerClients;
import beaconturn.core.Clock;
import beaconturn.core.EndpointDiscovery;
import beaconturn.core.Lifecycle;
import beaconturn.core.RepeatedEventLog;
import beaconturn.core.RouterSettings;
import beaconturn.core.RoutingEngine;
import beaconturn.core.RoutingMessage;
import beaconturn.core.RoutingThread;
import beaconturn.decision.EndpointListKind;
import beaconturn.decision.RoutingSettings;
import beaconturn.decision.ServerStatus;
import beaconturn.decision.WarmStartState;
import beaconturn.decision.ZoneWeights;
import beaconturn.net.client.ClientConnection;
import beaconturn.net.client.ClientConnections;
import beaconturn.net.client.ClientEventLog;
import beaconturn.net.client.ClientPoller;
import beaconturn.net.client.ConnectionContext;
import beaconturn.net.client.InvalidCommandException;
import beaconturn.net.client.Listener;
import beaconturn.net.client.PendingRequestIds;
import beaconturn.net.client.RequestParser;
import beaconturn.net.discovery.DiscoveryWatcher;
import beaconturn.net.discovery.EndpointListParser;
import beaconturn.net.discovery.WatchBackoff;
import beaconturn.net.io.ConnectionLimit;
import beaconturn.net.io.Fnv1a;
import beaconturn.net.io.Sockets;
import beaconturn.net.io.Threads;
import beaconturn.net.server.CacheResponseReader;
import beaconturn.net.server.CacheServer;
import beaconturn.net.server.CacheServerPool;
import beaconturn.net.server.CacheServerThread;
import beaconturn.net.server.WorkerPool;
import beaconturn.protocol.ProtocolException;
import beaconturn.stats.Counters;
import beaconturn.stats.RequestMetrics;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import java.util.logging.Level;
import java.util.logging.Logger;

/** One real router: puts the parts together, starts them, and takes them down at the end. */
public final class RouterServer {
  private static final Logger LOG = Logger.getLogger(RouterServer.class.getName());
  private static final long MILLI = 1_000_000;

  /** After a planned stop is announced, new connections still come for up to 0.4 s. */
  private static final long ACCEPT_ON = 500 * MILLI;

  /**
   * Beyond the longest deadline, what is not answered so long after a planned stop was announced is
   * given up.
   */
  private static final long ANSWERED_AFTER = 500 * MILLI;

  /** A planned stop waits no longer than this for answers: the process is killed soon after. */
  private static final long LONGEST_AT_STOP = 3_000 * MILLI;

  /**
   * The process is killed 0.7 s after the longest deadline: the last answers are on their way
   * before.
   */
  private static final long LAST_ANSWERS = 60 * MILLI;

  /** So long a start waits for the list that is agreed on. */
  private static final long LONGEST_FOR_LIST = 2_000 * MILLI;

  private static final long LONGEST_FOR_FIRST_LIST = 250 * MILLI;
  private static final long STEP_MILLIS = 5;
  private static final long SWEEP_MILLIS = 50;

  /** A thread for requests that are out ends when it has waited so long for the next. */
  private static final long KEEP_THREAD = 500 * MILLI;

  /**
   * How the module is hosted and what its mailbox gets; broken in tests to prove what watches over
   * it.
   */
  interface Hosting {
    /** As it should be. */
    Hosting USUAL = new Hosting() {};

    /** The host that the module's thread runs. */
    default RoutingEngine host(
        RouterConfig config, Clock clock, CacheServerClients fleet, EndpointDiscovery list) {
      return new RoutingEngine(config.settings().routing(), config.seed(), clock, fleet, list);
    }

    /** How long a start waits for discovery's first answer, or its failure, in nanoseconds. */
    default long firstListWithin() {
      return LONGEST_FOR_FIRST_LIST;
    }

    /** How a client's connection is served. */
    default ClientConnection connection(SocketChannel client, ConnectionContext site) {
      return new ClientConnection(client, site);
    }

    /** Where clients, cache servers and discovery post. */
    default Consumer<RoutingMessage> inbox(Consumer<RoutingMessage> mailbox) {
      return mailbox;
    }
  }

  private final RouterConfig config;
  private final Clock clock = Clock.system();
  private final Lifecycle lifecycle;

  /** Null where no second address is set. */
  private final OperatorOverrides operators;

  private final RequestMetrics tally;

  /** Null unless routers agree and a second address is set. */
  private final HealthMetrics health;

  private final RoutingThread module;
  private final ClientConnections clients;
  private final ClientPoller poller = new ClientPoller(clock);
  private final ClientEventLog events = new ClientEventLog();
  private final ConnectionContext site;

  /** Null until the router serves. */
  private volatile Listener listener;

  private final DiscoveryWatcher discovery;
  private final ConfigReloader reloads;

  /** Null where no other process of this router can run beside this one. */
  private final PeerProcess neighbour;

  private final ConnectionLimit places;
  private final CacheServerThread cacheActors;
  private volatile RouterSettings settings;
  private volatile WarmStartState learned;

  /** Null where routers share nothing. */
  private final FleetConfigSource agreed;

  /** Null where places are not decided on in common. */
  private final ZoneWeightsSource placing;

  /** By what the module places keys; set by its thread. */
  private ZoneWeights shares = ZoneWeights.ANYWHERE;

  /** What the module is under; set by its thread. */
  private volatile FleetConfigSource.Force force;

  private volatile boolean beside;
  private volatile RequestParser parser;
  private final Hosting hosting;
  private final CountDownLatch listHeard = new CountDownLatch(1);
  private volatile long knownList;
  private long switches;
  private final RepeatedEventLog turnedAway =
      new RepeatedEventLog(LOG, "new client connections are turned away", 1);

  /** Nothing is bound or served before {@link #start}. A reload reads from the source. */
  public RouterServer(RouterConfig config, RouterConfig.Source source, Lifecycle lifecycle)
      throws IOException {
    this(config, source, lifecycle, Hosting.USUAL, null, null);
  }

  /**
   * A router that agrees with others; {@code agreed} and {@code placing} null mean that it does
   * not.
   */
  public RouterServer(
      RouterConfig config,
      RouterConfig.Source source,
      Lifecycle lifecycle,
      FleetConfigSource agreed,
      ZoneWeightsSource placing)
      throws IOException {
    this(config, source, lifecycle, Hosting.USUAL, agreed, placing);
  }

  /** A router whose module may be hosted otherwise, for tests. */
  RouterServer(
      RouterConfig config,
      RouterConfig.Source source,
      Lifecycle lifecycle,
      Hosting hosting,
      FleetConfigSource agreed,
      ZoneWeightsSource placing)
      throws IOException {
    this.config = config;
    this.hosting = hosting;
    this.agreed = agreed;
    this.placing = placing;
    this.lifecycle = lifecycle;
    this.health =
        config.control() == null || agreed == null
            ? null
            : new HealthMetrics(clock::now, this::connections, this::mostConnections);
    Counters counters =
        config.control() == null ? null : health == null ? new Counters() : health.counters();
    this.operators =
        counters == null
            ? null
            : new OperatorOverrides(
                config,
                lifecycle,
                clock,
                this::post,
                this::heldOut,
                new OperatorOverrides.Figures(counters, health));
    this.tally = counters == null ? RequestMetrics.NONE : counters;
    this.module =
        new RoutingThread(
            operators == null && !config.shared() && agreed == null ? null : this::look,
            agreed == null ? null : this::agree);
    this.neighbour = config.shared() ? new PeerProcess(config) : null;
    this.beside = neighbour != null && neighbour.beside();
    follow(config.settings());
    ConnectionBudget capacity = capacity();
    this.places = new ConnectionLimit(capacity.cacheConnections());
    this.clients = new ClientConnections(capacity.clients(), capacity.easyClients());
    Consumer<RoutingMessage> inbox = hosting.inbox(module::post);
    this.site =
        new ConnectionContext(
            () -> parser,
            clock,
            lifecycle,
            inbox,
            poller,
            new PendingRequestIds(),
            new Semaphore(capacity.largeRequests()),
            events,
            clients::remove);
    this.discovery =
        new DiscoveryWatcher(
            config.discovery(),
            new EndpointListParser(config.settings()),
            config.known().version(),
            m -> {
              inbox.accept(m);
              noteList(m);
              listHeard.countDown();
            },
            agreed == null ? () -> 0 : agreed::oldestList,
            WatchBackoff.of(config.seed()));
    this.reloads =
        new ConfigReloader(
            source, discovery, config, module::post, this::follow, tally, agreed != null);
    RoutingSettings routing = config.settings().routing();
    long idleTime = routing.permissions().connectionIdleNanos() / 2;
    this.cacheActors = new CacheServerThread(idleTime);
    CacheServerPool fleet =
        new CacheServerPool(
            new CacheServer.Site(
                clock,
                inbox,
                places,
                new CacheResponseReader(routing),
                routing.permissions().connectTimeoutNanos(),
                idleTime,
                tally,
                cacheActors,
                new WorkerPool("cache", KEEP_THREAD),
                agreed == null ? () -> true : agreed::mayWrite));
    RoutingEngine host = hosting.host(config, clock, fleet, discovery);
    host.countIn(counting());
    module.setEngine(host);
  }

  private List<RequestMetrics> counting() {
    List<RequestMetrics> all = new ArrayList<>();
    if (health != null) {
      all.add(health.counters());
    }
    if (placing != null) {
      all.add(placing);
    }
    return all;
  }

  private void noteList(RoutingMessage message) {
    if (agreed != null
        && message instanceof RoutingMessage.EndpointUpdateReceived news
        && news.update().kind() != EndpointListKind.FAILED) {
      knownList = news.update().version();
      agreed.hasList(knownList);
    }
  }

  /**
   * The list that it was started with may be old, and what discovery has may count as told from the
   * first moment of a process: nobody is served before discovery's first word, unless that is long
   * in coming.
   */
  private void awaitFirstList() {
    try {
      if (!listHeard.await(hosting.firstListWithin(), TimeUnit.NANOSECONDS)) {
        LOG.info("discovery is slow to answer: goes on with list " + config.known().version());
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** The list that it was started with may be older than what all act on by now. */
  private void awaitList() {
    long until = clock.now() + LONGEST_FOR_LIST;
    while (agreed.due().oldestList() > knownList && clock.now() < until) {
      LockSupport.parkNanos(STEP_MILLIS * MILLI);
    }
    if (agreed.due().oldestList() > knownList) {
      LOG.warning(
          "list "
              + knownList
              + " is older than what is agreed on, "
              + agreed.due().oldestList()
              + ", and discovery tells no newer one: serves on it");
    }
  }

  private int connections() {
    return clients.count();
  }

  private int mostConnections() {
    return capacity().clients();
  }

  private ConnectionBudget capacity() {
    return ConnectionBudget.of(config.sockets() / (beside ? 2 : 1), config.memoryMb());
  }

  /** On the module's thread, now and then. */
  private void look(RoutingEngine host) {
    host.reportServers(tally);
    if (agreed != null) {
      Map<CacheServerClients.ListedServer, ServerStatus> standings = host.serverStatuses();
      agreed.sees(standings);
      if (health != null) {
        health.knows(standings.keySet());
      }
      if (placing != null) {
        placing.sees(standings);
      }
    }
    if (beside) {
      learned = host.warmStartState();
    }
  }

  /**
   * On the module's thread, before each step: what was agreed on may have changed, or its lease
   * ended.
   */
  @SuppressWarnings("ReferenceEquality") // Another object means news.
  private void agree(RoutingEngine host) {
    ZoneWeights placed = placing == null ? shares : placing.due();
    if (placed != shares) {
      shares = placed;
      host.handle(new RoutingMessage.ZoneWeightsReceived(placed));
    }
    FleetConfigSource.Force due = agreed.due();
    if (due == force) {
      return;
    }
    FleetConfigSource.Force before = force;
    force = due;
    Set<String> was = before == null ? Set.of() : before.out();
    if (!due.settings().equals(settings)) {
      host.handle(
          new RoutingMessage.SettingsReplaced(
              due.settings().routing(), config.seed() + ++switches));
      follow(due.settings());
    }
    long now = clock.now();
    due.out().stream().filter(s -> !was.contains(s)).forEach(s -> hand(host, s, true, now));
    was.stream()
        .filter(s -> !due.out().contains(s) && (operators == null || !operators.leftOut(s)))
        .forEach(s -> hand(host, s, false, now));
    if (due.oldestList() > (before == null ? 0 : before.oldestList())) {
      discovery.fetch();
    }
    agreed.applied(due);
    LOG.info("acts on " + due.says());
  }

  private static void hand(RoutingEngine host, String server, boolean out, long now) {
    host.handle(
        new RoutingMessage.OverrideRequested(Fnv1a.of(server), out, now, true, known -> {}));
  }

  /** Whether all routers have agreed to leave the cache server out. */
  private boolean heldOut(String server) {
    FleetConfigSource.Force now = force;
    return now != null && now.out().contains(server);
  }

  private void post(RoutingMessage message) {
    module.post(message);
  }

  /** Requests are read under these settings from here on. */
  private void follow(RouterSettings next) {
    RouterSettings before = settings == null ? next : settings;
    settings = next;
    next.classNames().forEach(tally::names);
    parser = new RequestParser(next, before, tally);
  }

  /**
   * Starts all actors and binds the clients' address last: from then on the kernel accepts, and
   * what a client writes to a connection that was accepted is owed an answer in time, however long
   * a router that is still compiling, or has not heard its list, would take to read it.
   */
  public void start() throws IOException {
    if (operators != null) {
      operators.start();
    }
    warmUp();
    if (agreed != null) {
      Threads.start("agreement", agreed);
      if (placing != null) {
        Threads.start("places", placing);
      }
    }
    cacheActors.start();
    RoutingMessage.EndpointUpdateReceived known =
        new RoutingMessage.EndpointUpdateReceived(config.known());
    noteList(known);
    module.handleBeforeStart(known);
    WarmStartState left = neighbour == null ? null : neighbour.left();
    if (left != null) {
      module.handleBeforeStart(new RoutingMessage.WarmStartReceived(left));
    }
    Threads.supervised("module", module::run);
    discovery.start();
    if (!settings.routing().pollsDiscovery()) {
      // Where lists are pushed the module does not ask, but here a watch is the only way to be
      // told.
      discovery.watch(true);
    }
    reloads.start();
    poller.start();
    Threads.supervised("sweeper", this::sweep);
    if (agreed != null) {
      agreed.awaitFirst();
      awaitList();
    }
    awaitFirstList();
    lifecycle.advance(Lifecycle.Phase.SERVING);
    if (lifecycle.phase() != Lifecycle.Phase.SERVING) {
      // Told to stop while it started: whom it accepted now nobody would answer.
      return;
    }
    listener =
        config.shared()
            ? Listener.inherited(this::accepted)
            : Listener.bind(config.listen(), this::accepted);
    listener.start();
    LOG.info(
        config.name()
            + " serves on "
            + listener.address()
            + "; at most "
            + capacity().cacheConnections()
            + " threads for requests that are out at cache servers");
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
   * Serves on while connections still come, then ends each connection as soon as nothing is owed on
   * it. What is still open when the longest time that a client waits is over is answered as failed,
   * also what was read under earlier settings with longer deadlines: nothing that was taken goes
   * without an answer, however long cache servers keep silent.
   */
  public void drain() throws InterruptedException {
    if (!lifecycle.advance(Lifecycle.Phase.DRAINING)) {
      return;
    }
    long began = clock.now();
    // What is shared another process accepts from; else nobody does, and new connections still
    // come.
    long acceptOn = config.shared() ? 0 : ACCEPT_ON;
    Thread.sleep(acceptOn / MILLI);
    if (listener != null) {
      listener.close();
    }
    long longest = Math.min(settings.routing().longestDeadlineNanos(), LONGEST_AT_STOP);
    endClients(began + longest + ANSWERED_AFTER);
    int unanswered = clients.count() == 0 ? 0 : module.openRequests();
    module.post(new RoutingMessage.StopRequested());
    endClients(clock.now() + LAST_ANSWERS);
    LOG.info(
        "drained in "
            + (clock.now() - began) / MILLI
            + " ms, "
            + unanswered
            + " given up at the end");
    module.stop();
    if (placing != null) {
      placing.leave();
    }
    if (agreed != null) {
      agreed.leave();
    }
    if (operators != null) {
      operators.close();
    }
    lifecycle.advance(Lifecycle.Phase.STOPPED);
  }

  /** Ends the connections of clients until there is none, or until that time. */
  private void endClients(long until) throws InterruptedException {
    while (clients.count() > 0 && clock.now() < until) {
      clients.stop();
      clients.sweep(clock.now());
      Thread.sleep(STEP_MILLIS);
    }
  }

  private void warmUp() {
    try {
      long began = clock.now();
      new StartupWarmUp(config).run();
      LOG.info("warmed up in " + (clock.now() - began) / MILLI + " ms");
    } catch (ProtocolException | InvalidCommandException | RuntimeException e) {
      // A router that is slow at first is better than none.
      LOG.log(Level.WARNING, "warm-up failed", e);
    }
  }

  private void accepted(SocketChannel client) {
    // The one accepting thread must not be held up by clients that keep others at work.
    if (clients.makeRoom(clock.now())) {
      ClientConnection connection = hosting.connection(client, site);
      clients.add(connection);
      connection.start();
    } else {
      Sockets.close(client);
      turnedAway.note(clock.now());
    }
    turnedAway.check(clock.now());
  }

  /**
   * Beside another process of this router: keeps to its part, and leaves the other what was
   * learned.
   */
  private void share() {
    beside = neighbour.beside();
    ConnectionBudget now = capacity();
    clients.setLimits(now.clients(), now.easyClients());
    places.setLimit(now.cacheConnections());
    WarmStartState latest = learned;
    learned = null;
    if (beside && latest != null && lifecycle.phase() == Lifecycle.Phase.SERVING) {
      neighbour.leave(latest);
    }
  }

  private void sweep() throws InterruptedException {
    ProcessPauseDetector pauses =
        new ProcessPauseDetector(clock, ProcessPauseDetector::ownProcessorTime);
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
  }
}
