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
import beaconturn.net.client.LargeRequestMemory;
import beaconturn.net.client.PendingRequestIds;
import beaconturn.net.client.PipelineLimit;
import beaconturn.net.client.ResponseMemory;
import beaconturn.net.discovery.CallTiming;
import beaconturn.net.discovery.DiscoveryWatcher;
import beaconturn.net.discovery.EndpointListParser;
import beaconturn.net.io.ConnectionLimit;
import beaconturn.net.server.CacheResponseReader;
import beaconturn.net.server.CacheServerEnvironment;
import beaconturn.net.server.CacheServerPool;
import beaconturn.net.server.CacheServerThread;
import beaconturn.net.server.ReceivedResponseMemory;
import beaconturn.net.server.WorkerPool;
import java.io.IOException;
import java.util.function.Consumer;

/**
 * Builds and holds the components of one router. Building binds the admin address and locks a
 * process slot but starts no thread. Immutable once built.
 *
 * <p>The components refer to each other in cycles: messages go from clients, cache servers and
 * discovery to the routing thread, and actions back. The private methods from {@link #post} on
 * close the cycles and are only called after all components are built.
 */
final class RouterAssembly {
  /** Idle time after which a worker thread for cache server connections exits. */
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
    this.clients = new ClientConnections(budget.clients(), budget.clientSoftLimit());
    this.acceptor = buildAcceptor(inbox, budget);
    this.endpointList = new StartupEndpointList(clock, inputs.fleetConfig());
    this.discovery = buildDiscovery(inbox);
    this.reloader = buildReloader();
    this.cacheServerThread = new CacheServerThread(cacheIdleTimeoutNanos());
    routingThread.setEngine(buildEngine(inbox));
  }

  /** Null if no admin address is configured; its classes are not loaded then. */
  private OperatorOverrides buildOperators() throws IOException {
    return metrics.isEnabled()
        ? new OperatorOverrides(
            inputs.config(),
            inputs.lifecycle(),
            clock,
            this::post,
            this::isExcludedByFleet,
            metrics)
        : null;
  }

  /** Null if routers do not agree on a configuration; its classes are not loaded then. */
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
            new PendingRequestIds(handover.executedRequestIds()),
            new LargeRequestMemory(budget.largeRequestBytes()),
            new ResponseMemory(budget.waitingResponseBytes()),
            new PipelineLimit(budget.commandsInFlight()),
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
          endpointList.onDiscoveryReply(message);
        },
        inputs.hasFleetConfig() ? inputs.fleetConfig()::oldestListVersion : () -> 0,
        CallTiming.of(config.seed()));
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
                new ReceivedResponseMemory(handover.budget().receivedResponseBytes()),
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

  /**
   * Half the configured time, so that the router closes idle connections before the cache servers
   * do.
   */
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

  /** Null if no admin address is configured. */
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

  GracefulShutdown gracefulShutdown() {
    return new GracefulShutdown(inputs, clock, settings, clients, routingThread, operators);
  }
}
