package beaconturn.net;

import beaconturn.core.Clock;
import beaconturn.core.RoutingEngine;
import beaconturn.core.RoutingMessage;
import beaconturn.core.RoutingThread;
import beaconturn.decision.RoutingSettings;
import beaconturn.net.client.ClientConnections;
import beaconturn.net.client.ClientEventLog;
import beaconturn.net.client.ClientPoller;
import beaconturn.net.client.ConnectionContext;
import beaconturn.net.client.PendingRequestIds;
import beaconturn.net.discovery.DiscoveryWatcher;
import beaconturn.net.discovery.EndpointListParser;
import beaconturn.net.discovery.WatchBackoff;
import beaconturn.net.io.ConnectionLimit;
import beaconturn.net.server.CacheResponseReader;
import beaconturn.net.server.CacheServerEnvironment;
import beaconturn.net.server.CacheServerPool;
import beaconturn.net.server.CacheServerThread;
import beaconturn.net.server.WorkerPool;
import java.io.IOException;
import java.util.concurrent.Semaphore;
import java.util.function.Consumer;

/**
 * The parts of one router, and what each is built from. Building binds the admin address and takes
 * a process slot, and starts no thread. Immutable once built.
 *
 * <p>The parts refer to each other in circles: messages go from clients, cache servers and
 * discovery to the routing thread and actions back. The circles are closed by the private methods
 * from {@link #post} on, which are called only after all parts are there.
 */
final class RouterAssembly {
  /** A thread for requests that are out ends when it has waited so long for the next. */
  private static final long WORKER_KEEP_ALIVE_NANOS = 500_000_000;

  private final RouterInputs inputs;
  private final Clock clock = Clock.system();
  private final ClientPoller poller = new ClientPoller(clock);
  private final RouterMetrics metrics;
  private final OperatorOverrides operators;
  private final ProcessHandover handover;
  private final ActiveSettings settings;
  private final FleetConfigApplier fleetConfigApplier;
  private final RoutingThread routingThread;
  private final StartupEndpointList endpointList;
  private final ClientConnections clients;
  private final ClientAcceptor acceptor;
  private final DiscoveryWatcher discovery;
  private final ConfigReloader reloader;
  private final ConnectionLimit cacheConnections;
  private final CacheServerThread cacheServerThread;

  RouterAssembly(RouterInputs inputs) throws IOException {
    this.inputs = inputs;
    this.metrics = RouterMetrics.of(inputs, clock::now, this::clientCount, this::clientCapacity);
    this.operators = buildOperators();
    this.handover = new ProcessHandover(inputs.config());
    this.settings = new ActiveSettings(metrics.requests());
    this.fleetConfigApplier = buildFleetConfigApplier();
    this.routingThread = buildRoutingThread();
    settings.activate(inputs.config().settings());
    ConnectionBudget budget = handover.budget();
    Consumer<RoutingMessage> inbox = inputs.customization().inbox(routingThread::post);
    this.cacheConnections = new ConnectionLimit(budget.cacheConnections());
    this.clients = new ClientConnections(budget.clients(), budget.clientsBeforeReclaim());
    this.acceptor = buildAcceptor(inbox, budget);
    this.endpointList = new StartupEndpointList(clock, inputs.fleetConfig());
    this.discovery = buildDiscovery(inbox);
    this.reloader = buildReloader();
    this.cacheServerThread = new CacheServerThread(cacheIdleTimeoutNanos());
    routingThread.setEngine(buildEngine(inbox));
  }

  /** Null where no admin address is set: nothing of it is loaded then. */
  private OperatorOverrides buildOperators() throws IOException {
    return metrics.hasReader()
        ? new OperatorOverrides(
            inputs.config(),
            inputs.lifecycle(),
            clock,
            this::post,
            this::isExcludedByFleet,
            metrics)
        : null;
  }

  /** Null where routers do not agree: nothing of it is loaded then. */
  private FleetConfigApplier buildFleetConfigApplier() {
    return inputs.hasFleetConfig()
        ? new FleetConfigApplier(
            inputs, clock, settings, this::fetchEndpointList, this::isExcludedByOperators)
        : null;
  }

  private RoutingThread buildRoutingThread() {
    RoutingEngineObserver observer = new RoutingEngineObserver(inputs, metrics, handover);
    return new RoutingThread(
        observer.isNeeded() ? observer::observe : null,
        fleetConfigApplier == null ? null : fleetConfigApplier::beforeStep);
  }

  private ClientAcceptor buildAcceptor(Consumer<RoutingMessage> inbox, ConnectionBudget budget) {
    ConnectionContext context =
        new ConnectionContext(
            settings::parser,
            clock,
            inputs.lifecycle(),
            inbox,
            poller,
            new PendingRequestIds(),
            new Semaphore(budget.largeRequests()),
            new ClientEventLog(),
            clients::remove);
    return new ClientAcceptor(clients, context, inputs.customization(), clock);
  }

  private DiscoveryWatcher buildDiscovery(Consumer<RoutingMessage> inbox) {
    RouterConfig config = inputs.config();
    return new DiscoveryWatcher(
        config.discoveryAddress(),
        new EndpointListParser(config.settings()),
        config.initialEndpoints().version(),
        message -> {
          inbox.accept(message);
          endpointList.received(message);
        },
        inputs.hasFleetConfig() ? inputs.fleetConfig()::oldestListVersion : () -> 0,
        WatchBackoff.of(config.seed()));
  }

  private ConfigReloader buildReloader() {
    return new ConfigReloader(
        inputs, discovery, routingThread::post, settings::activate, metrics.requests());
  }

  private RoutingEngine buildEngine(Consumer<RoutingMessage> inbox) {
    RoutingSettings routing = inputs.config().settings().routing();
    CacheServerPool cacheServers =
        new CacheServerPool(
            new CacheServerEnvironment(
                clock,
                inbox,
                cacheConnections,
                new CacheResponseReader(routing),
                routing.permissions().connectTimeoutNanos(),
                cacheIdleTimeoutNanos(),
                metrics.requests(),
                cacheServerThread,
                new WorkerPool("cache", WORKER_KEEP_ALIVE_NANOS),
                inputs.hasFleetConfig() ? inputs.fleetConfig()::mayWrite : () -> true));
    RoutingEngine engine =
        inputs.customization().engine(inputs.config(), clock, cacheServers, discovery);
    engine.setMetrics(metrics.attempts(inputs.zoneWeights()));
    return engine;
  }

  /** The router closes idle connections well before the cache servers do. */
  private long cacheIdleTimeoutNanos() {
    return inputs.config().settings().routing().permissions().connectionIdleNanos() / 2;
  }

  private void post(RoutingMessage message) {
    routingThread.post(message);
  }

  private int clientCount() {
    return clients.count();
  }

  private int clientCapacity() {
    return handover.budget().clients();
  }

  private boolean isExcludedByFleet(String server) {
    return fleetConfigApplier != null && fleetConfigApplier.isExcluded(server);
  }

  private boolean isExcludedByOperators(String server) {
    return operators != null && operators.isExcluded(server);
  }

  private void fetchEndpointList() {
    discovery.fetch();
  }

  RouterInputs inputs() {
    return inputs;
  }

  Clock clock() {
    return clock;
  }

  ClientPoller poller() {
    return poller;
  }

  /** Null where no admin address is set. */
  OperatorOverrides operators() {
    return operators;
  }

  ProcessHandover handover() {
    return handover;
  }

  ActiveSettings settings() {
    return settings;
  }

  RoutingThread routingThread() {
    return routingThread;
  }

  StartupEndpointList endpointList() {
    return endpointList;
  }

  ClientAcceptor acceptor() {
    return acceptor;
  }

  DiscoveryWatcher discovery() {
    return discovery;
  }

  ConfigReloader reloader() {
    return reloader;
  }

  CacheServerThread cacheServerThread() {
    return cacheServerThread;
  }

  MaintenanceLoop maintenanceLoop() {
    return new MaintenanceLoop(clock, inputs.lifecycle(), clients, cacheConnections, handover);
  }

  PlannedStop plannedStop() {
    return new PlannedStop(inputs, clock, settings, clients, routingThread, operators);
  }
}
