package beaconturn.net;

import beaconturn.core.Clock;
import beaconturn.core.Lifecycle;
import beaconturn.core.RoutingMessage;
import beaconturn.core.RoutingThread;
import beaconturn.net.client.ClientConnections;
import beaconturn.net.client.Listener;
import java.util.function.Supplier;
import java.util.logging.Logger;

/**
 * The graceful shutdown of a router: keeps serving while new connections arrive, then closes each
 * connection once no response is outstanding on it.
 *
 * <p>Guards against accepted requests without a response, however long cache servers stay silent:
 * requests still open after the longest deadline fail, including those accepted under earlier
 * settings with longer deadlines. The process is killed 0.7 s after the longest deadline, so the
 * last responses are sent before that.
 */
final class GracefulShutdown {
  private static final Logger LOG = Logger.getLogger(GracefulShutdown.class.getName());
  private static final long NANOS_PER_MILLI = 1_000_000;

  /**
   * Time during which new connections are accepted after the shutdown has started; they arrive for
   * up to 0.4 s after it is announced.
   */
  private static final long ACCEPT_GRACE_MILLIS = 500;

  /** Time beyond the longest deadline after which open requests fail. */
  private static final long FAIL_AFTER_DEADLINE_NANOS = 500 * NANOS_PER_MILLI;

  /** Limit on the deadline that is waited for, as the process is killed soon after. */
  private static final long MAX_DEADLINE_NANOS = 3_000 * NANOS_PER_MILLI;

  private static final long FINAL_RESPONSES_NANOS = 60 * NANOS_PER_MILLI;
  private static final long POLL_INTERVAL_MILLIS = 5;

  private final RouterInputs inputs;
  private final Clock clock;
  private final ActiveSettings settings;
  private final ClientConnections clients;
  private final RoutingThread routingThread;

  /** Null if no admin address is configured. */
  private final OperatorOverrides operators;

  GracefulShutdown(
      RouterInputs inputs,
      Clock clock,
      ActiveSettings settings,
      ClientConnections clients,
      RoutingThread routingThread,
      OperatorOverrides operators) {
    this.inputs = inputs;
    this.clock = clock;
    this.settings = settings;
    this.clients = clients;
    this.routingThread = routingThread;
    this.operators = operators;
  }

  /**
   * Runs the shutdown on the caller's thread and returns when the router has stopped; does nothing
   * if a shutdown is already running.
   *
   * @param listener supplies the listener, or null if the router does not serve yet
   */
  void run(Supplier<Listener> listener) throws InterruptedException {
    if (!inputs.lifecycle().advance(Lifecycle.Phase.DRAINING)) {
      return;
    }
    long startedAtNanos = clock.now();
    stopAccepting(listener);
    int failedRequests = finishRequests(startedAtNanos);
    LOG.info(
        "drained in "
            + (clock.now() - startedAtNanos) / NANOS_PER_MILLI
            + " ms, "
            + failedRequests
            + " requests failed at the end");
    routingThread.stop();
    leaveFleet();
    if (operators != null) {
      operators.close();
    }
    inputs.lifecycle().advance(Lifecycle.Phase.STOPPED);
  }

  private void stopAccepting(Supplier<Listener> listener) throws InterruptedException {
    // With a shared socket the other process accepts new connections; otherwise they still arrive
    // here.
    Thread.sleep(inputs.config().sharesListener() ? 0 : ACCEPT_GRACE_MILLIS);
    Listener currentListener = listener.get();
    if (currentListener != null) {
      currentListener.close();
    }
  }

  /**
   * Closes connections as their requests are answered, and fails the requests still open at the
   * end; returns the number of failed requests.
   */
  private int finishRequests(long startedAtNanos) throws InterruptedException {
    long longestDeadlineNanos =
        Math.min(settings.current().routing().longestDeadlineNanos(), MAX_DEADLINE_NANOS);
    drainClients(startedAtNanos + longestDeadlineNanos + FAIL_AFTER_DEADLINE_NANOS);
    int failedRequests = clients.count() == 0 ? 0 : routingThread.openRequests();
    routingThread.post(new RoutingMessage.StopRequested());
    drainClients(clock.now() + FINAL_RESPONSES_NANOS);
    return failedRequests;
  }

  /** Closes client connections until none is left or the time is reached. */
  private void drainClients(long untilNanos) throws InterruptedException {
    while (clients.count() > 0 && clock.now() < untilNanos) {
      clients.drain();
      clients.sweep(clock.now());
      Thread.sleep(POLL_INTERVAL_MILLIS);
    }
  }

  private void leaveFleet() {
    if (inputs.zoneWeights() != null) {
      inputs.zoneWeights().leave();
    }
    if (inputs.hasFleetConfig()) {
      inputs.fleetConfig().leave();
    }
  }
}
