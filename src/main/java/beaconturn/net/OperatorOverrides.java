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
 * What operators may do to a router: the admin address, and the cache servers that they have
 * excluded. Only where an admin address is set; else none of it is loaded. Calls come on the admin
 * server's thread; {@link #isExcluded} is for any thread.
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
   * @param excludedByFleet servers that all routers have agreed to leave out, which no call here
   *     brings back
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

  /** Answers calls from here on; what operators said before this process began is posted first. */
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
        // Back as far as this router's operators go; it takes force once the fleet lets go.
        known.accept(true);
        return;
      }
    }
    routingThread.accept(
        new RoutingMessage.OverrideRequested(
            Fnv1a.of(override.id()), override.excluded(), atNanos(override), fromElsewhere, known));
  }

  /**
   * When it was said, on this process's clock. The file outlives a start of the machine, at which
   * its monotonic clock begins anew: a time that is yet to come counts as now.
   */
  private long atNanos(ServerOverride override) {
    long agoMillis = Math.max(0, MonotonicMillis.millis() - override.atMillis());
    return clock.now() - agoMillis * NANOS_PER_MILLI;
  }
}
