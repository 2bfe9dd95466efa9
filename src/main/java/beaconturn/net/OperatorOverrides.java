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
import beaconturn.stats.Counters;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.function.Predicate;

/** What a router has for its operators where a second address is set; else none of it is loaded. */
final class OperatorOverrides implements AdminOperations {
  private static final long MILLI = 1_000_000;
  private final Figures figures;
  private final Lifecycle lifecycle;
  private final Consumer<RoutingMessage> module;
  private final ServerOverrideFile file;
  private final AdminServer address;
  private final Predicate<String> heldOut;
  private final Clock clock;
  private final Set<String> leftOut = ConcurrentHashMap.newKeySet();

  /** What callers may ask for; {@code health} is null where routers do not agree. */
  record Figures(Counters counters, HealthMetrics health) {}

  /**
   * Binds the second address; what all routers have agreed to leave out, no call here brings back.
   */
  OperatorOverrides(
      RouterConfig config,
      Lifecycle lifecycle,
      Clock clock,
      Consumer<RoutingMessage> module,
      Predicate<String> heldOut,
      Figures figures)
      throws IOException {
    this.figures = figures;
    this.heldOut = heldOut;
    this.lifecycle = lifecycle;
    this.clock = clock;
    this.module = module;
    this.file = new ServerOverrideFile(config.kept("hand"), config.shared());
    this.address = new AdminServer(config.control(), this, figures.counters(), file, clock::now);
  }

  /** Answers calls from here on; what operators said before this process began is posted first. */
  void start() {
    file.read().forEach(h -> hand(h, true, known -> {}));
    Threads.start("operators", address);
  }

  /** Whether operators have left the cache server out at this router. */
  boolean leftOut(String server) {
    return leftOut.contains(server);
  }

  InetSocketAddress address() {
    return address.address();
  }

  void close() {
    address.close();
  }

  @Override
  public String notReady() {
    return switch (lifecycle.phase()) {
      case STARTING -> "starting";
      case SERVING -> null;
      case DRAINING, STOPPED -> "stopping";
    };
  }

  @Override
  public List<Counters.Figure> health() {
    return figures.health() == null ? null : figures.health().read();
  }

  @Override
  public void hand(ServerOverride hand, boolean told, Consumer<Boolean> known) {
    if (hand.out()) {
      leftOut.add(hand.id());
    } else {
      leftOut.remove(hand.id());
      if (heldOut.test(hand.id())) {
        known.accept(true);
        return;
      }
    }
    module.accept(
        new RoutingMessage.OverrideRequested(
            Fnv1a.of(hand.id()), hand.out(), atHere(hand), told, known));
  }

  /**
   * When it was said, on this process's clock; a time that is yet to come was another start of the
   * machine's.
   */
  private long atHere(ServerOverride hand) {
    long ago = Math.max(0, MonotonicMillis.millis() - hand.atMillis());
    return clock.now() - ago * MILLI;
  }
}
