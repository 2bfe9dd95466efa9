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
 * One router on real sockets: starts its parts, reloads its configuration, and stops as planned.
 * {@link #start} and {@link #drain} run on the caller's thread; {@link #reload} and {@link #drain}
 * may come from other threads at any time.
 */
public final class RouterServer {
  private static final Logger LOG = Logger.getLogger(RouterServer.class.getName());
  private static final long NANOS_PER_MILLI = 1_000_000;

  private final RouterInputs inputs;
  private final RouterAssembly parts;

  /** Null until the router serves. */
  private volatile Listener listener;

  /**
   * A router that shares nothing with others; a reload reads from the source. No client is accepted
   * before {@link #start}.
   *
   * @throws IOException if the admin address cannot be bound
   */
  public RouterServer(RouterConfig config, RouterConfig.Source source, Lifecycle lifecycle)
      throws IOException {
    this(config, source, lifecycle, null, null);
  }

  /**
   * A router that agrees with others; {@code fleetConfig} and {@code zoneWeights} null mean that it
   * does not.
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

  /** A router some of whose parts may be replaced, for tests. */
  RouterServer(RouterInputs inputs) throws IOException {
    this.inputs = inputs;
    this.parts = new RouterAssembly(inputs);
  }

  /**
   * Starts all actors and binds the clients' address last: from then on the kernel accepts, and
   * what a client writes to a connection that was accepted is owed an answer in time, however long
   * a router that is still compiling, or has not received its list, would take to read it.
   *
   * @throws IOException if the clients' address cannot be bound
   */
  public void start() throws IOException {
    if (parts.operators() != null) {
      parts.operators().start();
    }
    warmUp();
    startFleetConfig();
    parts.cacheServerThread().start();
    startRouting();
    startDiscovery();
    parts.reloader().start();
    parts.poller().start();
    parts.maintenanceLoop().start();
    awaitWhatToActOn();
    inputs.lifecycle().advance(Lifecycle.Phase.SERVING);
    if (inputs.lifecycle().phase() != Lifecycle.Phase.SERVING) {
      // Told to stop while it started: whom it accepted now nobody would answer.
      return;
    }
    listen();
  }

  /** A router whose first requests are slow is better than none. */
  private void warmUp() {
    try {
      long beganNanos = parts.clock().now();
      new StartupWarmUp(inputs.config()).run();
      LOG.info("warmed up in " + (parts.clock().now() - beganNanos) / NANOS_PER_MILLI + " ms");
    } catch (ProtocolException | InvalidCommandException | RuntimeException e) {
      LOG.log(Level.WARNING, "warm-up failed", e);
    }
  }

  private void startFleetConfig() {
    if (inputs.hasFleetConfig()) {
      Threads.start("agreement", inputs.fleetConfig());
      if (inputs.zoneWeights() != null) {
        Threads.start("places", inputs.zoneWeights());
      }
    }
  }

  /** The routing thread begins with the list and with what the process before has left. */
  private void startRouting() {
    RoutingMessage.EndpointUpdateReceived known =
        new RoutingMessage.EndpointUpdateReceived(inputs.config().initialEndpoints());
    parts.endpointList().known(known);
    parts.routingThread().handleBeforeStart(known);
    WarmStartState warmStart = parts.handover().warmStart();
    if (warmStart != null) {
      parts.routingThread().handleBeforeStart(new RoutingMessage.WarmStartReceived(warmStart));
    }
    Threads.supervised("module", parts.routingThread()::run);
  }

  private void startDiscovery() {
    parts.discovery().start();
    if (!parts.settings().current().routing().pollsDiscovery()) {
      // Where lists are pushed the policy does not ask for them, but here a watch is the only way
      // to be notified: without it no drain would ever be heard of.
      parts.discovery().watch(true);
    }
  }

  private void awaitWhatToActOn() {
    if (inputs.hasFleetConfig()) {
      inputs.fleetConfig().awaitFirstConfig();
      parts.endpointList().awaitAgreedVersion();
    }
    parts
        .endpointList()
        .awaitDiscovery(
            inputs.customization().firstListTimeoutNanos(),
            inputs.config().initialEndpoints().version());
  }

  private void listen() throws IOException {
    RouterConfig config = inputs.config();
    listener =
        config.sharesListener()
            ? Listener.inherited(parts.acceptor()::accept)
            : Listener.bind(config.listenAddress(), parts.acceptor()::accept);
    listener.start();
    LOG.info(
        config.name()
            + " serves on "
            + listener.address()
            + "; at most "
            + parts.handover().budget().cacheConnections()
            + " threads for requests that are out at cache servers");
  }

  /** Asks for a new reading of the configuration; never waits, and may come in any phase. */
  public void reload() {
    parts.reloader().requestReload();
  }

  /** Where operators call, or null where they cannot. */
  public InetSocketAddress adminAddress() {
    return parts.operators() == null ? null : parts.operators().address();
  }

  /** Where clients connect; only after {@link #start}. */
  public InetSocketAddress address() {
    return listener.address();
  }

  /**
   * Stops as planned, answering all that was taken; returns when the router has stopped. Does
   * nothing if it is stopping already.
   */
  public void drain() throws InterruptedException {
    parts.plannedStop().run(() -> listener);
  }
}
