package beaconturn.net;

import beaconturn.core.Lifecycle;
import beaconturn.core.RoutingMessage;
import beaconturn.decision.WarmStartState;
import beaconturn.net.client.InvalidCommandException;
import beaconturn.net.client.Listener;
import beaconturn.net.io.Threads;
import beaconturn.protocol.ProtocolException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * One router on real sockets: starts its components, reloads its configuration, and shuts down
 * gracefully. {@link #start} and {@link #drain} run on the caller's thread; {@link #reload} and
 * {@link #drain} may be called by other threads at any time.
 */
public final class RouterServer {
  private static final Logger LOG = Logger.getLogger(RouterServer.class.getName());
  private static final long NANOS_PER_MILLI = 1_000_000;

  private final RouterInputs inputs;
  private final RouterAssembly components;

  /** Null until the router serves. */
  private volatile Listener listener;

  /**
   * Creates a router without agreement; a reload reads from the source. No client is accepted
   * before {@link #start}.
   *
   * @throws IOException if the admin address cannot be bound
   */
  public RouterServer(RouterConfig config, RouterConfig.Source source, Lifecycle lifecycle)
      throws IOException {
    this(config, source, lifecycle, null, null);
  }

  /**
   * Creates a router that agrees with others, unless {@code fleetConfig} and {@code zoneWeights}
   * are null.
   *
   * @throws IOException if the admin address cannot be bound
   */
  public RouterServer(
      RouterConfig config,
      RouterConfig.Source source,
      Lifecycle lifecycle,
      FleetConfigSource fleetConfig,
      ZoneWeightsSource zoneWeights)
      throws IOException {
    this(
        new RouterInputs(
            config, source, lifecycle, RouterCustomization.NONE, fleetConfig, zoneWeights));
  }

  /** Creates a router with replaceable components, for tests. */
  RouterServer(RouterInputs inputs) throws IOException {
    this.inputs = inputs;
    this.components = new RouterAssembly(inputs);
  }

  /**
   * Starts all threads and binds the listening address last: once it is bound the kernel accepts
   * connections, whose requests need a response in time even if the router is still compiling or
   * waiting for its endpoint list.
   *
   * @throws IOException if the listening address cannot be bound
   */
  public void start() throws IOException {
    if (components.operators() != null) {
      components.operators().start();
    }
    warmUp();
    startFleetConfig();
    components.cacheServerThread().start();
    startRouting();
    startDiscovery();
    components.reloader().start();
    components.poller().start();
    components.maintenanceLoop().start();
    awaitStartupState();
    inputs.lifecycle().advance(Lifecycle.Phase.SERVING);
    if (inputs.lifecycle().phase() != Lifecycle.Phase.SERVING) {
      // A shutdown was requested during the start: accepted clients would get no response.
      return;
    }
    listen();
  }

  /** Continues on a failure: slow first requests are better than no router. */
  private void warmUp() {
    try {
      long startedAtNanos = components.clock().now();
      new StartupWarmUp(inputs.config()).run();
      LOG.info(
          "warmed up in " + (components.clock().now() - startedAtNanos) / NANOS_PER_MILLI + " ms");
    } catch (ProtocolException | InvalidCommandException | RuntimeException e) {
      LOG.log(Level.WARNING, "warm-up failed", e);
    }
  }

  private void startFleetConfig() {
    if (inputs.hasFleetConfig()) {
      Threads.start("agreement", inputs.fleetConfig());
      if (inputs.zoneWeights() != null) {
        Threads.start("zones", inputs.zoneWeights());
      }
    }
  }

  /**
   * Starts the routing thread with the initial endpoint list and the state of the previous process.
   */
  private void startRouting() {
    RoutingMessage.EndpointUpdateReceived initialList =
        new RoutingMessage.EndpointUpdateReceived(inputs.config().initialEndpoints());
    components.endpointList().recordInitial(initialList);
    components.routingThread().handleBeforeStart(initialList);
    WarmStartState warmStart = components.handover().warmStart();
    if (warmStart != null) {
      components.routingThread().handleBeforeStart(new RoutingMessage.WarmStartReceived(warmStart));
    }
    Threads.supervised("routing", components.routingThread()::run);
  }

  private void startDiscovery() {
    components.discovery().start();
    if (!components.settings().current().routing().pollsDiscovery()) {
      // With pushed lists the policy does not request a watch, but without a watch no drain
      // would be noticed.
      components.discovery().watch(true);
    }
  }

  private void awaitStartupState() {
    if (inputs.hasFleetConfig()) {
      inputs.fleetConfig().awaitFirstConfig();
      components.endpointList().awaitAgreedVersion();
    }
    components
        .endpointList()
        .awaitDiscovery(
            inputs.customization().firstListTimeoutNanos(),
            inputs.config().initialEndpoints().version());
  }

  private void listen() throws IOException {
    RouterConfig config = inputs.config();
    listener =
        config.sharesListener()
            ? Listener.inherited(components.acceptor()::accept)
            : Listener.bind(config.listenAddress(), components.acceptor()::accept);
    listener.start();
    LOG.info(
        config.name()
            + " serves on "
            + listener.address()
            + "; at most "
            + components.handover().budget().cacheConnections()
            + " threads for connections to cache servers");
  }

  /** Requests a reload of the configuration; never blocks. Allowed in any phase. */
  public void reload() {
    components.reloader().requestReload();
  }

  /** The admin address, or null if none is configured. */
  public InetSocketAddress adminAddress() {
    return components.operators() == null ? null : components.operators().address();
  }

  /** The address for clients; valid only after {@link #start}. */
  public InetSocketAddress address() {
    return listener.address();
  }

  /**
   * Shuts down gracefully, responding to all accepted requests; returns when the router has
   * stopped. Does nothing if a shutdown is already running.
   */
  public void drain() throws InterruptedException {
    components.gracefulShutdown().run(() -> listener);
  }
}
