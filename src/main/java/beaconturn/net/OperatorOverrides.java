package beaconturn.net;

import beaconturn.core.Clock;
import beaconturn.core.Lifecycle;
import beaconturn.core.RoutingMessage;
import beaconturn.net.control.AdminOperations;
import beaconturn.net.control.AdminServer;
import beaconturn.net.control.MonotonicMillis;
import beaconturn.net.control.ServerOverride;
import beaconturn.net.control.ServerOverrideFile;
import beaconturn.net.io.Fnv1a;
import beaconturn.net.io.Threads;
import beaconturn.stats.Metric;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * The admin address and the cache servers that operators have excluded. Loaded only where an admin
 * address is configured. Commands arrive on the admin server's thread; {@link #isExcluded} is for
 * any thread.
 */
final class OperatorOverrides implements AdminOperations {
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final String OVERRIDE_FILE = "hand";

  private final RouterMetrics metrics;
  private final Lifecycle lifecycle;
  private final Clock clock;
  private final Consumer<RoutingMessage> routingThread;
  private final Predicate<String> excludedByFleet;
  private final ServerOverrideFile file;
  private final AdminServer adminServer;
  private final Set<String> excluded = ConcurrentHashMap.newKeySet();

  /**
   * Binds the admin address.
   *
   * @param excludedByFleet servers that all routers have agreed to exclude, which operators cannot
   *     include again
   * @throws IOException if the address cannot be bound
   */
  OperatorOverrides(
      RouterConfig config,
      Lifecycle lifecycle,
      Clock clock,
      Consumer<RoutingMessage> routingThread,
      Predicate<String> excludedByFleet,
      RouterMetrics metrics)
      throws IOException {
    this.metrics = metrics;
    this.lifecycle = lifecycle;
    this.clock = clock;
    this.routingThread = routingThread;
    this.excludedByFleet = excludedByFleet;
    this.file = new ServerOverrideFile(config.stateFile(OVERRIDE_FILE), config.sharesListener());
    this.adminServer =
        new AdminServer(config.adminAddress(), this, metrics.counters(), file, clock::now);
  }

  /** Starts the admin server, after applying the overrides stored by earlier processes. */
  void start() {
    file.read().forEach(override -> applyOverride(override, true, known -> {}));
    Threads.start("operators", adminServer);
  }

  /** Whether operators have excluded the cache server at this router. */
  boolean isExcluded(String server) {
    return excluded.contains(server);
  }

  InetSocketAddress address() {
    return adminServer.address();
  }

  void close() {
    adminServer.close();
  }

  @Override
  public String notReadyReason() {
    return switch (lifecycle.phase()) {
      case STARTING -> "starting";
      case SERVING -> null;
      case DRAINING, STOPPED -> "stopping";
    };
  }

  @Override
  public List<Metric> health() {
    return metrics.health() == null ? null : metrics.health().read();
  }

  @Override
  public void applyOverride(
      ServerOverride override, boolean fromElsewhere, Consumer<Boolean> known) {
    if (override.excluded()) {
      excluded.add(override.id());
    } else {
      excluded.remove(override.id());
      if (excludedByFleet.test(override.id())) {
        // The override is recorded; the server is used again once the fleet no longer excludes it.
        known.accept(true);
        return;
      }
    }
    routingThread.accept(
        new RoutingMessage.OverrideRequested(
            Fnv1a.of(override.id()), override.excluded(), atNanos(override), fromElsewhere, known));
  }

  /**
   * The time of the override on this process's clock. A restart of the machine resets the monotonic
   * clock but keeps the override file, so a time in the future counts as now.
   */
  private long atNanos(ServerOverride override) {
    long agoMillis = Math.max(0, MonotonicMillis.millis() - override.atMillis());
    return clock.now() - agoMillis * NANOS_PER_MILLI;
  }
}
